#ifndef AMARANTHWARD_LIBCORE_BOUNDEDSINK_H
#define AMARANTHWARD_LIBCORE_BOUNDEDSINK_H

#include "libcore/linequeue.h"
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace amaranthward {

/// Function name in the source location of a structured line: its text holds
/// the members of a JSON object, not a sentence.
inline constexpr const char *StructuredMark = "structured";

/// Sink of all loggers: keeps a bounded number of bytes until standard output
/// takes them, and never waits for it.
class BoundedSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  /// \param MostBytes bytes that may wait.
  BoundedSink(int Descriptor, std::size_t MostBytes)
      : Lines(Descriptor, MostBytes) {}
  ~BoundedSink() override { this->Lines.write(); }

  void writeWaiting() { this->Lines.write(); }
  std::uint64_t takeDropped() { return this->Lines.takeDropped(); }

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override;
  void flush_() override { this->Lines.write(); }

private:
  LineQueue Lines;
};

/// The sink that all loggers of this process share.
BoundedSink &standardSink();

} // namespace amaranthward

#endif
