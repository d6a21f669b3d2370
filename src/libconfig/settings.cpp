#include "libconfig/settings.h"

#include "libconfig/textunits.h"
#include "libconfig/yamlchecker.h"
#include "libconfig/yamltree.h"
#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace amaranthward {

namespace {

constexpr std::size_t MaxSettingsBytes = 1024UL * 1024;
constexpr std::size_t MaxPeers = 6;
constexpr std::size_t MaxFolderLength = 4096;

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

NodeSettings parseNode(YamlChecker &Check, const YamlNode &Root) {
  NodeSettings Node;
  if (!Check.map(Root, "the file",
                 {"name", "zone", "region", "listen", "peer_listen",
                  "local_listen", "control", "witnesses", "advertise", "log"},
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

ControlSettings parseControl(YamlChecker &Check, const YamlNode &Root) {
  ControlSettings Control;
  if (!Check.map(Root, "the file",
                 {"name", "zone", "listen", "peers", "data_folder", "advertise",
                  "log"},
                 {"name", "zone", "listen", "peers", "data_folder"}))
    return Control;
  readName(Check, Root, "name", Control.Name);
  readName(Check, Root, "zone", Control.Zone);
  std::map<std::string, const char *> Used;
  readListen(Check, Root, "listen", Used, Control.Listen);
  if (const YamlNode *List = Root.field("peers"))
    readPeers(Check, *List, Control);
  if (const YamlNode *Node = Root.field("data_folder"))
    Control.DataFolder =
        Check.text(*Node, "data_folder", MaxFolderLength).value_or("");
  readAdvertise(Check, Root, "listen", Control.Listen, Control.Advertise);
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
