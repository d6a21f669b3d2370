#ifndef AMARANTHWARD_LIBCONTROL_OPERATORAPI_H
#define AMARANTHWARD_LIBCONTROL_OPERATORAPI_H

#include "libcontrol/controlservice.h"
#include "libnet/httprouter.h"
#include <list>

namespace amaranthward {

/// The HTTP interface of a control replica towards operators.
class OperatorApi {
public:
  using AddressOfReplica = std::function<Endpoint(const ReplicaName &)>;

  /// \param Registry is shown in the dump.
  static Result<std::unique_ptr<OperatorApi>>
  create(EventLoop &Loop, ControlService &Service, Metrics &Registry,
         AddressOfReplica FindAddress);

  void addRoutes(HttpRouter &Router);
  /// Answers waiting requests for moves that have news.
  void onChange();
  /// Answers 421 with the leader's address, or 503 when none is known.
  void redirect(ServerExchange &Exchange) const;

  static constexpr Duration MaxMovesWait = std::chrono::seconds(30);

private:
  /// A request for moves that waits for the next event.
  struct WaitingMoves {
    std::shared_ptr<ServerExchange> Exchange;
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
  void finishMoves(std::list<WaitingMoves>::iterator Waiting);
  void dump(ServerExchange &Exchange) const;

  EventLoop &Loop;
  ControlService &Service;
  Metrics &Registry;
  AddressOfReplica FindAddress;
  std::list<WaitingMoves> Waiting;
};

} // namespace amaranthward

#endif
