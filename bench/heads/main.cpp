// Time to parse and to write one forwarded request head: POCO's HTTPRequest
// against the strict parser of libnet.
#include "libnet/messagehead.h"
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPRequest.h>
#include <benchmark/benchmark.h>
#include <sstream>

namespace {

using namespace amaranthward;

const std::string Bytes = "POST /order/new?a=b HTTP/1.1\r\n"
                          "Host: 10.0.0.1:7001\r\n"
                          "Content-Type: application/json\r\n"
                          "X-Order-Id: 123456\r\n"
                          "Accept: */*\r\n"
                          "Amaranth-Request-Id: 1234567890123-99\r\n"
                          "Amaranth-Incarnation: 987654321987\r\n"
                          "Amaranth-Revision: 4711\r\n"
                          "Amaranth-Route: order\r\n"
                          "Amaranth-Version: v1\r\n"
                          "Amaranth-Class: interactive\r\n"
                          "Amaranth-Deadline-Ms: 4990.123\r\n"
                          "Content-Length: 120\r\n\r\n";

void parseWithLibnet(benchmark::State &State) {
  for (auto Each : State) {
    auto Head = parseRequestHead(Bytes);
    benchmark::DoNotOptimize(Head);
  }
}
BENCHMARK(parseWithLibnet);

/// POCO accepts much that must be refused, so its parser needs the checks of
/// the strict one in addition to this.
void parseWithPoco(benchmark::State &State) {
  for (auto Each : State) {
    Poco::MemoryInputStream Stream(Bytes.data(),
                                   static_cast<std::streamsize>(Bytes.size()));
    Poco::Net::HTTPRequest Request;
    Request.read(Stream);
    HttpRequestHead Head;
    Head.Method = Request.getMethod();
    Head.Target = Request.getURI();
    for (const auto &[Name, Value] : Request)
      Head.Headers.add(Name, Value);
    benchmark::DoNotOptimize(Head);
  }
}
BENCHMARK(parseWithPoco);

void writeWithLibnet(benchmark::State &State) {
  auto Head = parseRequestHead(Bytes);
  for (auto Each : State)
    benchmark::DoNotOptimize(serializeRequestHead(*Head, "a"));
}
BENCHMARK(writeWithLibnet);

void writeWithPoco(benchmark::State &State) {
  auto Head = parseRequestHead(Bytes);
  for (auto Each : State) {
    Poco::Net::HTTPRequest Request(Head->Method, Head->Target, "HTTP/1.1");
    for (const auto &[Name, Value] : Head->Headers.fields())
      Request.add(Name, Value);
    std::ostringstream Stream;
    Request.write(Stream);
    benchmark::DoNotOptimize(Stream.str());
  }
}
BENCHMARK(writeWithPoco);

} // namespace

BENCHMARK_MAIN();
