#include "libcore/units.h"
#include "libnet/netfixture.h"

using namespace amaranthward;

namespace {

struct BadInput {
  const char *What;
  std::string Bytes;
  int Status;
};

const std::string Large(20000, 'a');

std::string head(const std::string &Lines) {
  return "POST / HTTP/1.1\r\nHost: a\r\n" + Lines + "\r\n";
}

const std::vector<BadInput> &badInputs() {
  static const std::vector<BadInput> All = {
      {"no version", "GET /\r\n\r\n", 400},
      {"no target", "GET  HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"two spaces", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"space in the target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"old version", "GET / HTTP/1.0\r\nHost: a\r\n\r\n", 505},
      {"future version", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505},
      {"malformed version", "GET / HTTP/1.10\r\nHost: a\r\n\r\n", 400},
      {"lower-case version", "GET / http/1.1\r\nHost: a\r\n\r\n", 400},
      {"bad method character", "G(T / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"tunnel", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 501},
      {"trace", "TRACE / HTTP/1.1\r\nHost: a\r\n\r\n", 501},
      {"long method", std::string(40, 'A') + " / HTTP/1.1\r\nHost: a\r\n\r\n",
       501},
      {"absolute target", "GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"no host", "GET / HTTP/1.1\r\n\r\n", 400},
      {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
      {"empty first line", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"bare line feed", "GET / HTTP/1.1\nHost: a\n\n", 400},
      {"bare line feed in a field", head("A: b\nC: d\r\n"), 400},
      {"bare carriage return in a field", head("A: b\rC: d\r\n"), 400},
      {"folded field", head("A: b\r\n c\r\n"), 400},
      {"space before the colon", head("Content-Length : 0\r\n"), 400},
      {"no colon", head("Content-Length\r\n"), 400},
      {"empty name", head(": a\r\n"), 400},
      {"null byte", head(std::string("A: b\0c\r\n", 8)), 400},
      {"two lengths", head("Content-Length: 1\r\nContent-Length: 2\r\n"), 400},
      {"list of lengths", head("Content-Length: 1, 1\r\n"), 400},
      {"negative length", head("Content-Length: -1\r\n"), 400},
      {"signed length", head("Content-Length: +1\r\n"), 400},
      {"hexadecimal length", head("Content-Length: 0x1\r\n"), 400},
      {"empty length", head("Content-Length: \r\n"), 400},
      {"huge length", head("Content-Length: 18446744073709551616\r\n"), 400},
      {"length and chunked",
       head("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"), 400},
      {"unknown coding", head("Transfer-Encoding: gzip\r\n"), 501},
      {"two codings", head("Transfer-Encoding: gzip, chunked\r\n"), 501},
      {"coding named twice",
       head("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
       400},
      {"unknown expectation", head("Expect: miracles\r\n"), 417},
      {"large field", head("A: " + Large + "\r\n"), 431},
      {"endless head", "GET / HTTP/1.1\r\nA: " + Large, 431},
  };
  return All;
}

const std::vector<std::string> &badChunks() {
  static const std::vector<std::string> All = {
      "x\r\n",
      "-1\r\n",
      "\r\n",
      "1 \r\nab",
      "0x1\r\na\r\n",
      "1\na\r\n",
      "1\r\nab",
      "1\r\na\n",
      "1\r\na\rb",
      "1;a=\x01\r\n",
      "1\r\na\r\nz\r\n",
      "0\r\n:\r\n",
      "0\r\nbad\r\n\r\n",
      "fffffffffffffffff\r\n",
      std::string(300, '0'),
  };
  return All;
}

const std::string ChunkedHead =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string NextRequest = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

// Guards against request smuggling: two parsers that disagree about the end
// of a request would let a second one slip through behind it.
TEST_CASE("a malformed request is refused and nothing behind it is served") {
  NetFixture Net;
  int Handled = 0;
  Net.serve([&](auto Exchange) {
    ++Handled;
    respond(*Exchange, 200, "text/plain", "ok");
  });
  for (const BadInput &Each : badInputs()) {
    INFO(Each.What);
    std::string Response = Net.exchangeRaw({Each.Bytes + NextRequest});
    CHECK(Response.substr(0, 12) == "HTTP/1.1 " + std::to_string(Each.Status));
    CHECK(Response.find("200 OK") == std::string::npos);
    CHECK(Handled == 0);
  }
}

TEST_CASE("a malformed chunked body ends the connection") {
  NetFixture Net;
  int Handled = 0;
  Net.serve([&](auto Exchange) {
    ++Handled;
    readBody(Exchange, 1000, [](auto Done, std::string) {
      respond(*Done, 200, "text/plain", "ok");
    });
  });
  for (const std::string &Each : badChunks()) {
    INFO(Each);
    int Before = Handled;
    std::string Request = ChunkedHead;
    Request += Each;
    Request += NextRequest;
    std::string Response = Net.exchangeRaw({Request});
    CHECK(Response.substr(0, 12) == "HTTP/1.1 400");
    CHECK(Handled == Before + 1);
  }
}

TEST_CASE("pipelined requests split at every byte are served in order") {
  NetFixture Net;
  std::string Served;
  Net.serve([&](auto Exchange) {
    readBody(Exchange, 1000, [&](auto Done, std::string Body) {
      Served += Done->request().Target + "[" + Body + "]";
      respond(*Done, 200, "text/plain", Body);
    });
  });
  std::string Input = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"
                      "abc" +
                      std::string("POST /2 HTTP/1.1\r\nHost: a\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"
                                  "2;x=y\r\nde\r\n1\r\nf\r\n0\r\nT: u\r\n\r\n"
                                  "GET /3 HTTP/1.1\r\nHost: a\r\n"
                                  "Connection: close\r\n\r\n");
  for (std::size_t Cut = 1; Cut < Input.size(); ++Cut) {
    INFO(Cut);
    Served.clear();
    std::string Response =
        Net.exchangeRaw({Input.substr(0, Cut), Input.substr(Cut)});
    CHECK(Served == "/1[abc]/2[def]/3[]");
    CHECK(Response.find("Connection: close") != std::string::npos);
  }
}

// Random edits of valid requests; guards against crashes, hangs and reads
// beyond a buffer in the parser.
TEST_CASE("random input never stops the server") {
  NetFixture Net;
  Net.serve(
      [](auto Exchange) {
        readBody(Exchange, 1000, [](auto Done, std::string Body) {
          respond(*Done, 200, "text/plain", Body);
        });
      },
      {.HeaderTimeout = std::chrono::milliseconds(40),
       .IdleTimeout = std::chrono::milliseconds(40)});
  RandomFunction Random = seededRandom(20261204);
  const std::string Valid = ChunkedHead + "3\r\nabc\r\n0\r\n\r\n" + NextRequest;
  for (int Round = 0; Round < 400; ++Round) {
    std::string Input = Valid;
    for (std::uint64_t Edits = Random() % 6; Edits > 0; --Edits) {
      std::size_t At = Random() % Input.size();
      if (Random() % 2)
        Input[At] = static_cast<char>(Random());
      else
        Input.erase(At, 1 + Random() % 4);
    }
    Input.append("\n\n");
    std::string Response = Net.exchangeRaw(
        {Input}, [](const std::string &Text) { return Text.size() > 2000; });
    CHECK(Response.substr(0, 9) == "HTTP/1.1 ");
  }
  std::string Last =
      Net.exchangeRaw({NextRequest}, [](const std::string &Text) {
        return Text.ends_with("\r\n\r\n");
      });
  CHECK(Last.substr(0, 15) == "HTTP/1.1 200 OK");
}

TEST_CASE("a client that sends its head slowly is disconnected") {
  NetFixture Net;
  Net.serve([](auto) {}, {.HeaderTimeout = std::chrono::milliseconds(50)});
  CHECK(Net.exchangeRaw({"GET / HTTP/1.1\r\nHo"}).substr(0, 12) ==
        "HTTP/1.1 408");
  CHECK(Net.runUntil([&] { return Net.Server->connections() == 0; }));
}
