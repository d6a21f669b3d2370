#ifndef AMARANTHWARD_LIBCONTROL_OPERATORAPI_H
#define AMARANTHWARD_LIBCONTROL_OPERATORAPI_H

#include "libcontrol/controlservice.h"
#include "libnet/httprouter.h"
#include <list>

namespace amaranthward {

/// HTTP interface of a control replica for operators: submits configuration
/// sets and shows status, moves, history and dump.
class OperatorApi {
public:
  /// Address of a replica; empty when it is unknown.
  using AddressOfReplica = std::function<Endpoint(const ReplicaName &)>;

  /// \param Registry metrics that the dump includes.
  static Result<std::unique_ptr<OperatorApi>>
  create(EventLoop &Loop, ControlService &Service, Metrics &Registry,
         AddressOfReplica FindAddress);

  void addRoutes(HttpRouter &Router);
  /// Answers the waiting requests for which there is a new move event.
  void onChange();
  /// Answers 421 with the leader's address, or 503 when none is known.
  void redirect(ServerExchange &Exchange) const;

  /// Upper limit of the "wait_ms" parameter of /v1/moves.
  static constexpr Duration MaxMovesWait = std::chrono::seconds(30);

private:
  /// Request for move events that is answered after the next event (long poll).
  struct WaitingRequest {
    std::shared_ptr<ServerExchange> Exchange;
    /// Sequence of the newest event that the caller has.
    std::uint64_t After = 0;
    EventLoop::TimerId Timer = 0;
  };

  OperatorApi(EventLoop &Loop, ControlService &Service, Metrics &Registry,
              AddressOfReplica FindAddress)
      : Loop(Loop), Service(Service), Registry(Registry),
        FindAddress(std::move(FindAddress)) {}
  void submit(std::shared_ptr<ServerExchange> Exchange, std::string Body);
  void answer(ServerExchange &Exchange, const SubmitAnswer &Answer) const;
  void moves(std::shared_ptr<ServerExchange> Exchange);
  /// Answers a waiting request and removes it.
  void finishWaiting(std::list<WaitingRequest>::iterator Entry);
  void dump(ServerExchange &Exchange) const;

  EventLoop &Loop;
  ControlService &Service;
  Metrics &Registry;
  AddressOfReplica FindAddress;
  std::list<WaitingRequest> Waiting;
};

} // namespace amaranthward

#endif
