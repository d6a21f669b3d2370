#ifndef AMARANTHWARD_LIBCONSENSUS_PROPOSALS_H
#define AMARANTHWARD_LIBCONSENSUS_PROPOSALS_H

#include "libcore/ids.h"
#include "libcore/result.h"
#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace amaranthward {

/// Callbacks of proposals that wait for their outcome. Outcomes are queued and
/// reported by \a drain, so that a callback may call the replica again.
class Proposals {
public:
  using Done = std::function<void(Result<LogIndex>)>;

  std::size_t size() const { return this->Waiting.size(); }
  void add(LogIndex Index, Done Callback);
  /// Queues an outcome without waiting.
  void settle(Done Callback, Result<LogIndex> Outcome);
  /// The entry at \a Index was committed and applied.
  void complete(LogIndex Index);
  /// All proposals after \a Index fail with \a Cause.
  void failAfter(LogIndex Index, const Error &Cause);
  /// Calls the callbacks of all queued outcomes.
  void drain();

private:
  std::map<LogIndex, Done> Waiting;
  std::deque<std::pair<Done, Result<LogIndex>>> Settled;
};

} // namespace amaranthward

#endif
