#include "libcore/boundedsink.h"

namespace amaranthward {

void BoundedSink::sink_it_(const spdlog::details::log_msg &Message) {
  spdlog::memory_buf_t Line;
  this->formatter_->format(Message, Line);
  this->Lines.push(std::string_view(Line.data(), Line.size()));
}

} // namespace amaranthward
