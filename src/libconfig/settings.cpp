#include "libconfig/settings.h"

#include "libconfig/textunits.h"
#include "libconfig/yamlchecker.h"
#include "libconfig/yamltree.h"
#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <set>

namespace amaranthward {

namespace {

constexpr std::size_t MaxSettingsBytes = 1024UL * 1024;
constexpr std::size_t MaxPeers = 6;
constexpr std::size_t MaxFolderLength = 4096;
constexpr std::size_t MaxPathLength = 1024;
constexpr std::size_t MaxSeeds = 16;
constexpr std::uint64_t MaxToleratedLosses = 3;
constexpr Duration ShortestDuration = std::chrono::milliseconds(1);
constexpr std::uint64_t MaxExposureCalls = 1000000;
constexpr Duration MaxSyncHold = std::chrono::seconds(10);
constexpr Duration MaxGrace = std::chrono::minutes(10);
constexpr Duration MaxSilence = std::chrono::minutes(10);

template <typename Id>
void readName(YamlChecker &Check, const YamlNode &Root, const char *Field,
              Id &Target) {
  const YamlNode *Node = Root.field(Field);
  if (Node == nullptr)
    return;
  if (auto Name = Check.name(*Node, Field))
    Target = Id(*Name);
}

void readListen(YamlChecker &Check, const YamlNode &Root, const char *Field,
                std::map<std::string, const char *> &Used, Endpoint &Target) {
  const YamlNode *Node = Root.field(Field);
  if (Node == nullptr)
    return;
  auto Address = Check.endpoint(*Node, Field, /*Listens=*/true);
  if (!Address)
    return;
  Target = *Address;
  auto [First, IsNew] = Used.emplace(Address->str(), Field);
  if (!IsNew && portOf(*Address) != 0) {
    Check.error(
        *Node, std::string(Field) + " has the same address as " + First->second,
        "give each of them its own port");
  }
}

std::vector<Endpoint> readAddresses(YamlChecker &Check, const YamlNode &Root,
                                    const char *Field) {
  std::vector<Endpoint> All;
  const YamlNode *Node = Root.field(Field);
  if (Node == nullptr || !Check.sequence(*Node, Field))
    return All;
  std::set<Endpoint> Seen;
  for (const YamlNode &Item : Node->Items) {
    auto Address = Check.endpoint(Item, Field, /*Listens=*/false);
    if (!Address)
      continue;
    if (!Seen.insert(*Address).second) {
      Check.error(Item,
                  std::string(Field) + " names " + Address->str() + " twice",
                  "remove one of the two");
    }
    All.push_back(*Address);
  }
  return All;
}

void readAdvertise(YamlChecker &Check, const YamlNode &Root,
                   const char *ListenField, const Endpoint &Listen,
                   std::optional<Endpoint> &Target) {
  if (const YamlNode *Node = Root.field("advertise")) {
    Target = Check.endpoint(*Node, "advertise", /*Listens=*/false);
    return;
  }
  const YamlNode *Node = Root.field(ListenField);
  if (Node != nullptr && isAnyAddress(Listen)) {
    Check.error(*Node,
                std::string(ListenField) +
                    " accepts any address, so others cannot be told one",
                "add advertise with the address that others can reach");
  }
}

void readMetrics(YamlChecker &Check, const YamlNode &Root,
                 std::map<std::string, const char *> &Used,
                 std::optional<Endpoint> &Target) {
  if (Root.field("metrics_listen") == nullptr)
    return;
  Endpoint Address;
  readListen(Check, Root, "metrics_listen", Used, Address);
  Target = Address;
}

void readLog(YamlChecker &Check, const YamlNode &Root, LogOptions &Log) {
  constexpr std::array<const char *, 6> Levels = {"trace", "debug", "info",
                                                  "warn",  "error", "off"};
  const YamlNode *Map = Root.field("log");
  if (Map == nullptr || !Check.map(*Map, "log", {"level", "json"}, {}))
    return;
  if (const YamlNode *Node = Map->field("level")) {
    Log.Level = Node->Text;
    if (std::find(Levels.begin(), Levels.end(), Node->Text) == Levels.end()) {
      Check.error(*Node, "log level must be a known level",
                  "write trace, debug, info, warn, error or off");
    }
  }
  if (const YamlNode *Node = Map->field("json"))
    Log.JsonLines = Check.boolean(*Node, "json of log").value_or(false);
}

void readFlag(YamlChecker &Check, const YamlNode &Map, const char *Field,
              bool &Target) {
  if (const YamlNode *Node = Map.field(Field))
    Target = Check.boolean(*Node, Field).value_or(Target);
}

void readDuration(YamlChecker &Check, const YamlNode &Map, const char *Field,
                  Duration Longest, Duration &Target) {
  if (const YamlNode *Node = Map.field(Field))
    Target = Check.duration(*Node, Field, ShortestDuration, Longest)
                 .value_or(Target);
}

void readSync(YamlChecker &Check, const YamlNode &Root, SyncTimes &Sync) {
  if (Root.field("sync_hold") == nullptr)
    return;
  readDuration(Check, Root, "sync_hold", MaxSyncHold, Sync.Hold);
  Sync = SyncTimes::of(Sync.Hold);
}

void readHeaders(YamlChecker &Check, const YamlNode &Root,
                 HeaderNames &Headers) {
  const YamlNode *Map = Root.field("headers");
  if (Map == nullptr ||
      !Check.map(*Map, "headers",
                 {"request_id", "deadline", "whole_milliseconds", "class",
                  "signature", "expected_instance", "not_executed",
                  "caller_service"},
                 {}))
    return;
  struct Entry {
    const char *Field;
    std::string &Target;
  };
  for (const Entry &One :
       {Entry{"request_id", Headers.RequestId},
        Entry{"deadline", Headers.Deadline}, Entry{"class", Headers.Class},
        Entry{"signature", Headers.Signature},
        Entry{"expected_instance", Headers.ExpectedInstance},
        Entry{"not_executed", Headers.NotExecuted},
        Entry{"caller_service", Headers.CallerService}}) {
    const YamlNode *Node = Map->field(One.Field);
    if (Node == nullptr)
      continue;
    // An empty text switches the use of the field off.
    if (Node->What == YamlNode::Kind::Scalar && Node->Text.empty())
      One.Target.clear();
    else if (auto Name = Check.name(*Node, One.Field))
      One.Target = *Name;
  }
  readFlag(Check, *Map, "whole_milliseconds", Headers.WholeMilliseconds);
}

void readReady(YamlChecker &Check, const YamlNode &Root,
               std::optional<ReadySettings> &Target) {
  const YamlNode *Map = Root.field("ready");
  if (Map == nullptr ||
      !Check.map(*Map, "ready", {"listen", "path"}, {"listen"}))
    return;
  ReadySettings Ready;
  if (const YamlNode *Node = Map->field("listen"))
    Ready.Listen = Check.endpoint(*Node, "listen of ready", /*Listens=*/true)
                       .value_or(Endpoint());
  if (const YamlNode *Node = Map->field("path"))
    Ready.Path =
        Check.text(*Node, "path of ready", MaxPathLength).value_or(Ready.Path);
  Target = std::move(Ready);
}

void readUpstream(YamlChecker &Check, const YamlNode &Root,
                  NodeSettings &Settings) {
  const YamlNode *Map = Root.field("upstream");
  if (Map == nullptr ||
      !Check.map(*Map, "upstream", {"service", "address", "silence"}, {}))
    return;
  readName(Check, *Map, "service", Settings.Service);
  if (const YamlNode *Node = Map->field("address"))
    Settings.Upstream =
        Check.endpoint(*Node, "address of upstream", /*Listens=*/false)
            .value_or(Endpoint());
  readDuration(Check, *Map, "silence", MaxSilence, Settings.UpstreamSilence);
}

/// Reads a part of the whole such as 0.2.
std::optional<Share> readPart(YamlChecker &Check, const YamlNode &Node,
                              const std::string &Field,
                              const std::string &Help) {
  char *End = nullptr;
  double Part = std::strtod(Node.Text.c_str(), &End);
  bool Fits = Node.What == YamlNode::Kind::Scalar && !Node.Text.empty() &&
              *End == 0 && Part >= 0 && Part <= 1;
  if (Fits)
    return Share(static_cast<std::uint32_t>(Part * Share::Whole));
  Check.error(Node, Field + " must be a number from 0 to 1", Help);
  return std::nullopt;
}

NodeSettings parseNode(YamlChecker &Check, const YamlNode &Root) {
  NodeSettings Node;
  if (!Check.map(Root, "the file",
                 {"name", "zone", "region", "listen", "peer_listen",
                  "local_listen", "control", "witnesses", "advertise",
                  "headers", "ready", "upstream", "grace", "retry_bound",
                  "sync_hold", "platform", "metrics_listen", "log"},
                 {"name", "zone", "region", "listen", "peer_listen",
                  "local_listen", "control"}))
    return Node;
  readName(Check, Root, "name", Node.Name);
  readName(Check, Root, "zone", Node.Zone);
  readName(Check, Root, "region", Node.Region);
  std::map<std::string, const char *> Used;
  readListen(Check, Root, "listen", Used, Node.Listen);
  readListen(Check, Root, "peer_listen", Used, Node.PeerListen);
  readListen(Check, Root, "local_listen", Used, Node.LocalListen);
  Node.Control = readAddresses(Check, Root, "control");
  if (const YamlNode *List = Root.field("control");
      List != nullptr && List->What == YamlNode::Kind::Sequence &&
      List->Items.empty())
    Check.error(*List, "control is empty", "name the control replicas");
  Node.Witnesses = readAddresses(Check, Root, "witnesses");
  readAdvertise(Check, Root, "peer_listen", Node.PeerListen, Node.Advertise);
  readHeaders(Check, Root, Node.Headers);
  readReady(Check, Root, Node.Ready);
  readUpstream(Check, Root, Node);
  readDuration(Check, Root, "grace", MaxGrace, Node.Grace);
  if (const YamlNode *Bound = Root.field("retry_bound"))
    Node.RetryBound = readPart(Check, *Bound, "retry_bound",
                               "write 0.2 for one repeated request in five");
  readSync(Check, Root, Node.Sync);
  readFlag(Check, Root, "platform", Node.Platform);
  readMetrics(Check, Root, Used, Node.MetricsListen);
  readLog(Check, Root, Node.Log);
  return Node;
}

ControlPeer readPeer(YamlChecker &Check, const YamlNode &Map) {
  ControlPeer Peer;
  if (!Check.map(Map, "peer", {"name", "address"}, {"name", "address"}))
    return Peer;
  readName(Check, Map, "name", Peer.Name);
  if (const YamlNode *Node = Map.field("address"))
    Peer.Address = Check.endpoint(*Node, "address of peer", /*Listens=*/false)
                       .value_or(Endpoint());
  return Peer;
}

void readPeers(YamlChecker &Check, const YamlNode &List,
               ControlSettings &Control) {
  if (!Check.sequence(List, "peers"))
    return;
  std::set<ReplicaName> Names = {Control.Name};
  std::set<Endpoint> Addresses;
  for (const YamlNode &Item : List.Items) {
    ControlPeer Peer = readPeer(Check, Item);
    if (!Peer.Name.empty() && !Names.insert(Peer.Name).second) {
      Check.error(Item,
                  "peer \"" + Peer.Name.str() +
                      "\" is this replica or appears twice",
                  "name each of the other replicas once");
    }
    if (!Peer.Address.empty() && !Addresses.insert(Peer.Address).second)
      Check.error(Item, "two peers have the address " + Peer.Address.str(),
                  "give each peer its own address");
    Control.Peers.push_back(std::move(Peer));
  }
  if (List.Items.size() > MaxPeers) {
    Check.error(List, "peers has more than 6 entries",
                "run at most 7 control replicas");
  } else if (List.Items.size() % 2 == 1) {
    Check.warning(List,
                  "an even number of replicas survives no more failures than "
                  "one replica fewer",
                  "run 3, 5 or 7 control replicas");
  }
}

void readExposure(YamlChecker &Check, const YamlNode &Root,
                  ControlSettings &Control) {
  if (const YamlNode *Node = Root.field("exposure_share"))
    Control.ExposureShare =
        readPart(Check, *Node, "exposure_share",
                 "write 0.1 for one call in ten of the time of a move")
            .value_or(Share());
  if (const YamlNode *Node = Root.field("exposure_calls"))
    if (auto Number =
            Check.number(*Node, "exposure_calls", 0, MaxExposureCalls))
      Control.ExposureCalls = static_cast<std::uint32_t>(*Number);
}

ControlSettings parseControl(YamlChecker &Check, const YamlNode &Root) {
  ControlSettings Control;
  if (!Check.map(Root, "the file",
                 {"name", "zone", "listen", "peers", "seeds", "first_start",
                  "tolerated_losses", "exposure_share", "exposure_calls",
                  "data_folder", "advertise", "sync_hold", "platform",
                  "metrics_listen", "log"},
                 {"name", "zone", "listen", "data_folder"}))
    return Control;
  if ((Root.field("peers") == nullptr) == (Root.field("seeds") == nullptr)) {
    Check.error(Root, "the file needs either peers or seeds",
                "name all other replicas in peers, or some in seeds");
    return Control;
  }
  readName(Check, Root, "name", Control.Name);
  readName(Check, Root, "zone", Control.Zone);
  std::map<std::string, const char *> Used;
  readListen(Check, Root, "listen", Used, Control.Listen);
  if (const YamlNode *List = Root.field("peers"))
    readPeers(Check, *List, Control);
  if (const YamlNode *Node = Root.field("data_folder"))
    Control.DataFolder =
        Check.text(*Node, "data_folder", MaxFolderLength).value_or("");
  Control.Seeds = readAddresses(Check, Root, "seeds");
  if (Control.Seeds.size() > MaxSeeds)
    Check.error(*Root.field("seeds"), "seeds has more than 16 entries",
                "name a few replicas");
  readFlag(Check, Root, "first_start", Control.FirstStart);
  readSync(Check, Root, Control.Sync);
  readFlag(Check, Root, "platform", Control.Platform);
  if (const YamlNode *Node = Root.field("tolerated_losses"))
    if (auto Number =
            Check.number(*Node, "tolerated_losses", 0, MaxToleratedLosses))
      Control.ToleratedLosses = static_cast<std::uint32_t>(*Number);
  readExposure(Check, Root, Control);
  readAdvertise(Check, Root, "listen", Control.Listen, Control.Advertise);
  readMetrics(Check, Root, Used, Control.MetricsListen);
  readLog(Check, Root, Control.Log);
  return Control;
}

template <typename T>
SettingsOutcome<T> readSettings(const std::string &Text,
                                const std::string &FileName,
                                T (*Parse)(YamlChecker &, const YamlNode &)) {
  SettingsOutcome<T> Outcome;
  auto Root = parseYaml(Text, FileName, MaxSettingsBytes, Outcome.All);
  if (!Root)
    return Outcome;
  YamlChecker Check(FileName);
  T Settings = Parse(Check, *Root);
  if (!Check.hasErrors())
    Outcome.Settings = std::move(Settings);
  Outcome.All = Check.takeFindings();
  return Outcome;
}

} // namespace

SettingsOutcome<NodeSettings> readNodeSettings(const std::string &Text,
                                               const std::string &FileName) {
  return readSettings<NodeSettings>(Text, FileName, parseNode);
}

SettingsOutcome<ControlSettings>
readControlSettings(const std::string &Text, const std::string &FileName) {
  return readSettings<ControlSettings>(Text, FileName, parseControl);
}

} // namespace amaranthward
