#include "libproxy/meshfixture.h"
#include <fstream>

using namespace amaranthward;

namespace {

std::size_t residentBytes() {
  std::ifstream Status("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  Status >> Total >> Resident;
  return Resident * 4096;
}

struct Upload {
  std::shared_ptr<ClientExchange> Exchange;
  std::size_t Sent = 0;
  std::string Answer;
  bool Failed = false;
};

const std::string Block(16UL * 1024, 'u');

} // namespace

// Guards against unbounded buffers, which would hold 5 GB here. Caller, entry,
// gate and upstream share this process, so the test applies the limit of one
// node, 128 MB, to more than one node.
TEST_CASE("100 uploads of 50 MB in flight stay under 128 MB") {
  constexpr std::size_t Size = 50UL * 1000 * 1000;
  constexpr std::size_t Number = 100;
  constexpr std::size_t Bound = 128UL * 1000 * 1000;
  MeshFixture Mesh;
  std::vector<std::shared_ptr<ServerExchange>> Held;
  bool Reading = false;
  std::size_t Received = 0;
  for (int Gate = 0; Gate < 3; ++Gate)
    Mesh.addGate("v1", [&](std::shared_ptr<ServerExchange> Exchange) {
      Held.push_back(Exchange);
      ServerExchange::Hooks Hooks;
      auto *Raw = Exchange.get();
      Hooks.OnBody = [&Received, &Reading, Raw](std::string_view Data) {
        Received += Data.size();
        if (!Reading)
          Raw->pauseBody();
      };
      Hooks.OnBodyEnd = [Raw] { respond(*Raw, 200, "text/plain", "stored"); };
      Exchange->setHooks(std::move(Hooks));
    });
  for (RouteSpec &Each : Mesh.Configuration.Set.Routes)
    Each.Timeout = std::chrono::seconds(100);
  Mesh.start();
  std::size_t Before = residentBytes();
  std::vector<std::unique_ptr<Upload>> All;
  for (std::size_t Index = 0; Index < Number; ++Index) {
    All.push_back(std::make_unique<Upload>());
    Upload *One = All.back().get();
    auto Pump = [One] {
      while (One->Sent < Size) {
        std::size_t Part = std::min(Block.size(), Size - One->Sent);
        One->Sent += Part;
        if (!One->Exchange->sendBody(std::string_view(Block).substr(0, Part)))
          return;
      }
    };
    ClientExchange::Hooks Hooks;
    Hooks.OnDrained = Pump;
    Hooks.OnBody = [One](std::string_view Data) { One->Answer += Data; };
    Hooks.OnFailure = [One](const ClientFailure &) { One->Failed = true; };
    One->Exchange =
        Mesh.Caller->send(Mesh.Listener->address(),
                          {"POST", "/browse/up", {}, Size}, std::move(Hooks));
    Pump();
  }
  std::size_t Last = 0;
  int UnchangedChecks = 0;
  std::size_t Peak = 0;
  REQUIRE(Mesh.runUntil(
      [&] {
        std::size_t Sent = 0;
        for (const auto &Each : All)
          Sent += Each->Sent;
        UnchangedChecks = Sent == Last ? UnchangedChecks + 1 : 0;
        Last = Sent;
        Peak = std::max(Peak, residentBytes());
        return UnchangedChecks > 100;
      },
      std::chrono::seconds(30)));
  MESSAGE("resident: " << Before / 1000 << " kB before, " << Peak / 1000
                       << " kB most, " << Held.size() << " at upstreams");
  CHECK(Peak < Bound);
  for (const auto &Each : All)
    Each->Exchange->cancel();
}

TEST_CASE("a large upload arrives whole through both hops") {
  constexpr std::size_t Size = 20UL * 1000 * 1000;
  MeshFixture Mesh;
  std::size_t Received = 0;
  Mesh.addGate("v1", [&](std::shared_ptr<ServerExchange> Exchange) {
    ServerExchange::Hooks Hooks;
    Hooks.OnBody = [&](std::string_view Data) { Received += Data.size(); };
    Hooks.OnBodyEnd = [Exchange] {
      respond(*Exchange, 200, "text/plain", "stored");
    };
    Exchange->setHooks(std::move(Hooks));
  });
  Mesh.start();
  auto Call = Mesh.callAndWait("POST", "/order", std::string(Size, 'u'));
  CHECK(Call->Body == "stored");
  CHECK(Received == Size);
}
