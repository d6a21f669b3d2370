#include "libcore/eventlog.h"

#include "libcore/boundedsink.h"
#include "libcore/eventlimiter.h"
#include "libcore/json.h"
#include <array>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

/// A pipe whose reader reads only when told.
struct Pipe {
  Pipe() { REQUIRE(::pipe(this->Ends.data()) == 0); }
  ~Pipe() {
    ::close(this->Ends[0]);
    ::close(this->Ends[1]);
  }
  std::string read() {
    ::fcntl(this->Ends[0], F_SETFL, O_NONBLOCK);
    std::string All;
    std::array<char, 4096> Part{};
    for (ssize_t Got = 0;
         (Got = ::read(this->Ends[0], Part.data(), Part.size())) > 0;)
      All.append(Part.data(), static_cast<std::size_t>(Got));
    return All;
  }

  std::array<int, 2> Ends{};
};

} // namespace

TEST_CASE("A full pipe does not stop the process") {
  // Guards against requests that wait because nobody reads the log.
  Pipe Log;
  constexpr std::size_t Most = 100000;
  LineQueue Lines(Log.Ends[1], Most);
  std::string Line = std::string(99, 'x') + "\n";
  std::uint64_t Taken = 0;
  for (int I = 0; I < 5000; ++I) {
    Taken += Lines.push(Line) ? 1 : 0;
    Lines.write();
  }
  CHECK(Taken < 5000);
  CHECK(Lines.takeDropped() == 5000 - Taken);
  CHECK(Lines.takeDropped() == 0);
  std::string Read;
  while (!Lines.empty()) {
    Read += Log.read();
    Lines.write();
  }
  Read += Log.read();
  CHECK(Read.size() == Taken * Line.size());
}

TEST_CASE("A frequent event does not suppress a rare one") {
  // Guards against an election or a lost upstream that is missing in the log
  // because many requests were refused at the same time.
  EventLimiter Limiter(10);
  Instant Now{100s};
  int Frequent = 0;
  for (int I = 0; I < 1000; ++I)
    Frequent += Limiter.admit("refused", Now) ? 1 : 0;
  CHECK(Frequent == 10);
  CHECK(Limiter.admit("upstream_lost", Now));
  CHECK(Limiter.takeSuppressed(Now).empty());
  auto Over = Limiter.takeSuppressed(Now + 1s);
  REQUIRE(Over.size() == 1);
  CHECK(Over[0].Event == "refused");
  CHECK(Over[0].Lines == 990);
  CHECK(Limiter.admit("refused", Now + 1s));
  CHECK(Limiter.takeSuppressed(Now + 2s).empty());
}

TEST_CASE("A structured line is one JSON object") {
  // Guards against lines that a text from outside breaks: a path may hold
  // quotes and line breaks.
  LogFields Fields;
  Fields.add("path", "/a\"b\\\n\xff")
      .add("status", 503)
      .add("took_ms", Duration(1500us))
      .add("slots", std::uint32_t(9))
      .add("leaving", false);
  auto Read = parseJson("{" + Fields.text() + "}");
  REQUIRE(Read.has_value());
  CHECK((*Read)["status"] == 503);
  CHECK((*Read)["took_ms"] == doctest::Approx(1.5));
  CHECK((*Read)["slots"] == 9);
  CHECK((*Read)["leaving"] == false);
  CHECK(Fields.text().find('\n') == std::string::npos);
}

TEST_CASE("Sentences and structured lines share the form of a line") {
  // Guards against a log that a JSON reader cannot read line by line.
  Pipe Log;
  auto Sink = std::make_shared<BoundedSink>(Log.Ends[1], 10000);
  LogOptions Options;
  Options.JsonLines = true;
  configureLogging(Options);
  spdlog::initialize_logger(std::make_shared<spdlog::logger>("other", Sink));
  spdlog::get("other")->info("He said \"no\".");
  spdlog::get("other")->log(spdlog::source_loc{"", 0, StructuredMark},
                            spdlog::level::info, R"("event":"refused")");
  spdlog::drop("other");
  Sink->writeWaiting();
  std::string Text = Log.read();
  std::size_t Break = Text.find('\n');
  REQUIRE(Break != std::string::npos);
  auto First = parseJson(Text.substr(0, Break));
  auto Second = parseJson(Text.substr(Break + 1));
  REQUIRE(First.has_value());
  REQUIRE(Second.has_value());
  CHECK((*First)["message"] == "He said \"no\".");
  CHECK((*Second)["event"] == "refused");
  CHECK((*Second)["part"] == "other");
}
