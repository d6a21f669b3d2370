#ifndef AMARANTHWARD_LIBCORE_LINEQUEUE_H
#define AMARANTHWARD_LIBCORE_LINEQUEUE_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthward {

/// Lines that wait for a descriptor. Writing never waits: what the descriptor
/// does not take stays here, and what does not fit here is dropped and counted.
class LineQueue {
public:
  /// \param MostBytes bytes that may wait.
  LineQueue(int Descriptor, std::size_t MostBytes)
      : Descriptor(Descriptor), MostBytes(MostBytes) {}

  /// Adds a line with its line break. False when it is dropped.
  bool push(std::string_view Line);
  /// Writes what the descriptor takes at once.
  void write();
  bool empty() const { return this->Waiting.empty(); }
  /// Lines dropped since the last call.
  std::uint64_t takeDropped();

private:
  int Descriptor;
  std::size_t MostBytes;
  std::string Waiting;
  std::uint64_t Dropped = 0;
};

} // namespace amaranthward

#endif
