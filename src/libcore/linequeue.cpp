#include "libcore/linequeue.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace amaranthward {

namespace {

/// A descriptor that polls as writable takes at least this much of a pipe
/// without waiting (POSIX); more could block the process.
constexpr std::size_t WritableBytes = PIPE_BUF;

bool isWritable(int Descriptor) {
  pollfd Asked{Descriptor, POLLOUT, 0};
  return ::poll(&Asked, 1, 0) == 1 && (Asked.revents & POLLOUT) != 0;
}

} // namespace

bool LineQueue::push(std::string_view Line) {
  if (this->Waiting.size() + Line.size() > this->MostBytes) {
    ++this->Dropped;
    return false;
  }
  this->Waiting.append(Line);
  return true;
}

void LineQueue::write() {
  std::size_t Done = 0;
  while (Done < this->Waiting.size() && isWritable(this->Descriptor)) {
    std::size_t Part = std::min(WritableBytes, this->Waiting.size() - Done);
    ssize_t Taken =
        ::write(this->Descriptor, this->Waiting.data() + Done, Part);
    // The next call tries again; there is nowhere to report this.
    if (Taken <= 0)
      break;
    Done += static_cast<std::size_t>(Taken);
  }
  this->Waiting.erase(0, Done);
}

std::uint64_t LineQueue::takeDropped() {
  return std::exchange(this->Dropped, 0);
}

} // namespace amaranthward
