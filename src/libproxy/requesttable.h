#ifndef AMARANTHWARD_LIBPROXY_REQUESTTABLE_H
#define AMARANTHWARD_LIBPROXY_REQUESTTABLE_H

#include "libproxy/execution.h"
#include <deque>
#include <map>
#include <unordered_map>

namespace amaranthward {

/// The requests that a gate knows by their ids, with bounds on their number
/// and on the bytes of kept responses.
class RequestTable {
public:
  /// How long a finished request is known; keyed ones for the retention time.
  static constexpr Duration UnkeyedRetention = std::chrono::seconds(30);
  static constexpr std::size_t MaxUnkeyedFinished = 50000;
  static constexpr std::size_t MaxTotalResponseBytes = 16UL * 1024 * 1024;

  std::shared_ptr<Execution> find(const RequestId &Id) const;
  void add(std::shared_ptr<Execution> Added);
  /// Starts the time for which the finished request is kept.
  void finished(const Execution &Ended, Duration KeyedTime, Instant Now);
  void expire(Instant Now);

  /// Marks a request that never arrived, so that it cannot start later. False
  /// when it may have been known and forgotten.
  bool block(const RequestId &Id, Instant Now);
  bool blocked(const RequestId &Id) const;

  std::size_t size() const { return this->All.size(); }
  std::size_t responseBytes() const { return this->KeptBytes; }
  template <typename Function> void forEach(const Function &Visit) const {
    for (const auto &[Id, Each] : this->All)
      Visit(Each);
  }

private:
  struct Finished {
    RequestId Id;
    Instant Until;
  };

  void forget(const RequestId &Id);
  void boundResponses();

  std::map<RequestId, std::shared_ptr<Execution>> All;
  std::map<RequestId, Instant> Blocked;
  std::deque<Finished> Brief;
  std::deque<Finished> Keyed;
  /// Finished requests whose response is kept, oldest first.
  std::deque<RequestId> Responses;
  std::size_t KeptBytes = 0;
  /// Highest forgotten sequence of each entry.
  std::unordered_map<Incarnation, std::uint64_t> Forgotten;
};

} // namespace amaranthward

#endif
