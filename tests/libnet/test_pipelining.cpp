#include "libnet/netfixture.h"

using namespace amaranthward;

namespace {

/// Collects exchanges, so that a test answers them in any order.
struct Waiting {
  std::vector<std::shared_ptr<ServerExchange>> All;
  int Aborted = 0;

  HttpServer::Handler handler() {
    return [this](std::shared_ptr<ServerExchange> Exchange) {
      ServerExchange::Hooks Hooks;
      Hooks.OnAborted = [this] { ++this->Aborted; };
      Exchange->setHooks(std::move(Hooks));
      this->All.push_back(std::move(Exchange));
    };
  }
};

/// Sends \a Requests on one connection, runs \a Answer once when \a Count of
/// them wait, and returns what came back.
std::string
exchange(NetFixture &Net, const Waiting &Calls, std::size_t Count,
         const std::string &Requests, const std::function<void()> &Answer,
         std::function<bool(const std::string &)> Enough = nullptr) {
  bool Answered = false;
  auto Timer = Net.Loop->every(std::chrono::milliseconds(1), [&] {
    if (Answered || Calls.All.size() < Count)
      return;
    Answered = true;
    Answer();
  });
  std::string All = Net.exchangeRaw({Requests}, std::move(Enough));
  Net.Loop->cancel(Timer);
  return All;
}

std::string get(const std::string &Path, const std::string &More = "") {
  return "GET " + Path + " HTTP/1.1\r\nHost: a\r\n" + More + "\r\n";
}

bool holds(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("pipelined requests are served at once and answered in order") {
  // Guards against a request that waits for a slow one before it, which cost
  // callers with several requests on a connection their deadlines.
  NetFixture Net;
  Waiting Calls;
  Net.serve(Calls.handler());
  std::string All = exchange(
      Net, Calls, 3, get("/1") + get("/2") + get("/3"),
      [&] {
        for (std::size_t I : {2, 0, 1})
          respond(*Calls.All[I], 200, "text/plain",
                  "body of " + Calls.All[I]->request().Target);
      },
      [](const std::string &Text) { return holds(Text, "body of /3"); });
  std::size_t First = All.find("body of /1");
  std::size_t Second = All.find("body of /2");
  REQUIRE(First != std::string::npos);
  CHECK(First < Second);
  CHECK(Second < All.find("body of /3"));
}

TEST_CASE("a request that must not be repeated waits for its turn") {
  // Guards against an order that runs and is sent again by its caller, because
  // the response before it closed the connection.
  NetFixture Net;
  Waiting Calls;
  Net.serve(Calls.handler());
  auto Answer = Net.Loop->after(std::chrono::milliseconds(100), [&] {
    CHECK(Calls.All.size() == 1);
    HttpHeaders Close;
    Close.add("Connection", "close");
    respond(*Calls.All[0], 200, "text/plain", "first", Close);
  });
  std::string All = Net.exchangeRaw(
      {get("/1") +
       "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"});
  Net.Loop->cancel(Answer);
  CHECK(holds(All, "first"));
  CHECK(Calls.All.size() == 1);
}

TEST_CASE("requests behind a response that closes are given up") {
  // Guards against upstreams that work for a caller who asks again elsewhere.
  NetFixture Net;
  Waiting Calls;
  Net.serve(Calls.handler());
  std::string All = exchange(Net, Calls, 2, get("/1") + get("/2"), [&] {
    HttpHeaders Close;
    Close.add("Connection", "close");
    respond(*Calls.All[0], 200, "text/plain", "first", Close);
    respond(*Calls.All[1], 200, "text/plain", "second");
  });
  CHECK(holds(All, "first"));
  CHECK_FALSE(holds(All, "second"));
  CHECK(Calls.Aborted == 1);
}

TEST_CASE("a response that breaks off ends the connection in its turn") {
  // Guards against bytes of a later response where a broken one is due.
  NetFixture Net;
  Waiting Calls;
  Net.serve(Calls.handler());
  std::string Requests = get("/1") + get("/2") + get("/3");
  std::string All = exchange(Net, Calls, 3, Requests, [&] {
    Calls.All[1]->abort();
    respond(*Calls.All[2], 200, "text/plain", "third");
    respond(*Calls.All[0], 200, "text/plain", "first");
  });
  CHECK(holds(All, "first"));
  CHECK_FALSE(holds(All, "third"));
}
