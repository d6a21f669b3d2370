#include "libcore/log.h"

#include "libcore/boundedsink.h"
#include "libcore/json.h"
#include <spdlog/pattern_formatter.h>
#include <unistd.h>

namespace amaranthward {

namespace {

/// Writes one JSON object for each line; the message is escaped.
class JsonFormatter : public spdlog::formatter {
public:
  void format(const spdlog::details::log_msg &Message,
              spdlog::memory_buf_t &Target) override {
    auto SinceEpoch = Message.time.time_since_epoch();
    auto Millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch);
    auto Level = spdlog::level::to_string_view(Message.level);
    std::string_view Part(Message.logger_name.data(),
                          Message.logger_name.size());
    fmt::format_to(std::back_inserter(Target),
                   R"({{"time_ms":{},"level":"{}","part":"{}",)",
                   Millis.count(), std::string_view(Level.data(), Level.size()),
                   Part);
    std::string_view Text(Message.payload.data(), Message.payload.size());
    const char *Mark = Message.source.funcname;
    if (Mark != nullptr && std::string_view(Mark) == StructuredMark)
      Target.append(Text.data(), Text.data() + Text.size());
    else
      fmt::format_to(std::back_inserter(Target), R"("message":{})",
                     dumpJson(Json(std::string(Text))));
    fmt::format_to(std::back_inserter(Target), "}}\n");
  }

  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<JsonFormatter>();
  }
};

/// About two seconds of lines at a node that is fully loaded.
constexpr std::size_t MostWaitingBytes = 256UL * 1024;

std::shared_ptr<BoundedSink> sharedSink() {
  static auto Sink =
      std::make_shared<BoundedSink>(STDOUT_FILENO, MostWaitingBytes);
  return Sink;
}

} // namespace

BoundedSink &standardSink() { return *sharedSink(); }

void configureLogging(const LogOptions &Options) {
  spdlog::set_level(spdlog::level::from_str(Options.Level));
  if (Options.JsonLines)
    spdlog::set_formatter(std::make_unique<JsonFormatter>());
  else
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %L [%n] %v");
}

std::shared_ptr<spdlog::logger> logFor(const std::string &Part) {
  if (auto Known = spdlog::get(Part))
    return Known;
  auto Created = std::make_shared<spdlog::logger>(Part, sharedSink());
  spdlog::initialize_logger(Created);
  return Created;
}

} // namespace amaranthward
