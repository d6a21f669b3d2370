#ifndef AMARANTHWARD_LIBPROXY_REQUESTTABLE_H
#define AMARANTHWARD_LIBPROXY_REQUESTTABLE_H

#include "libproxy/execution.h"
#include <deque>
#include <map>
#include <unordered_map>

namespace amaranthward {

/// The requests that a gate knows, by id. Bounds the number of finished
/// requests without idempotency key and the bytes of kept responses.
class RequestTable {
public:
  /// How long a finished request without idempotency key is kept. Keyed
  /// requests are kept for MeshLimits::IdempotencyRetention.
  static constexpr Duration UnkeyedRetention = std::chrono::seconds(30);
  /// Largest number of finished requests without idempotency key.
  static constexpr std::size_t MaxUnkeyedFinished = 50000;
  /// Bound for the bodies of all kept responses; the oldest are dropped first.
  static constexpr std::size_t MaxTotalResponseBytes = 16UL * 1024 * 1024;

  std::shared_ptr<Execution> find(const RequestId &Id) const;
  void add(std::shared_ptr<Execution> Added);
  /// Starts the retention time of a request that has ended.
  void finished(const Execution &Ended, Duration KeyedRetention, Instant Now);
  void expire(Instant Now);

  /// Marks an unknown request, so that it is refused when it arrives. Returns
  /// false when the request may have been known and evicted.
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
    Instant ExpiresAt;
  };

  void evict(const RequestId &Id);
  void boundResponses();

  std::map<RequestId, std::shared_ptr<Execution>> All;
  std::map<RequestId, Instant> Blocked;
  std::deque<Finished> FinishedUnkeyed;
  std::deque<Finished> FinishedKeyed;
  /// Finished requests whose response is kept, oldest first.
  std::deque<RequestId> Responses;
  std::size_t KeptBytes = 0;
  /// Highest sequence number of an evicted request, for each entry.
  std::unordered_map<Incarnation, std::uint64_t> HighestEvicted;
};

} // namespace amaranthward

#endif
