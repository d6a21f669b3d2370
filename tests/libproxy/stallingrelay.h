#ifndef AMARANTHWARD_TESTS_LIBPROXY_STALLINGRELAY_H
#define AMARANTHWARD_TESTS_LIBPROXY_STALLINGRELAY_H

#include "libcore/ids.h"
#include "libnet/streamconnection.h"
#include <Poco/Net/ServerSocket.h>
#include <memory>
#include <vector>

namespace amaranthward {

/// Forwards bytes between its clients and one address. The connections that
/// are open when \a stallOpenConnections is called lose all later bytes without
/// being closed; connections made afterwards work.
class StallingRelay {
public:
  StallingRelay(EventLoop &Loop, const Endpoint &Target);
  ~StallingRelay();

  Endpoint address() const;
  void stallOpenConnections();
  /// Loses only what comes back from the target, on the open connections.
  void dropResponses();
  /// Loses the bytes of all connections, present and future.
  void stallAllConnections();
  /// Resets the open connections after \a Bytes from the target.
  void cutResponsesAfter(std::size_t Bytes);
  std::size_t accepted() const { return this->Pairs.size(); }

private:
  struct Pair {
    std::shared_ptr<StreamConnection> Near;
    std::shared_ptr<StreamConnection> Far;
    bool DropRequests = false;
    bool DropResponses = false;
    std::size_t ResponseBytes = 0;
  };

  void accept();

  EventLoop &Loop;
  Endpoint Target;
  Poco::Net::ServerSocket Listener;
  std::vector<std::shared_ptr<Pair>> Pairs;
  bool StallAll = false;
  std::size_t CutAfter = 0;
};

} // namespace amaranthward

#endif
