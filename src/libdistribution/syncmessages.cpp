#include "libdistribution/syncmessages.h"

#include "libcore/compression.h"
#include "libdistribution/messagefields.h"

namespace amaranthward {

namespace {

/// Parents that a chain names. The tree is far less deep; in a cycle the chain
/// would grow.
constexpr std::size_t MaxChain = 32;

std::uint64_t milliseconds(Duration Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

/// One day. Keeps a value from a peer from overflowing Duration.
constexpr std::uint64_t MaxMilliseconds = 86'400'000;

Duration fromMilliseconds(std::uint64_t Count) {
  return std::chrono::milliseconds(std::min(Count, MaxMilliseconds));
}

TableVersion versionField(MessageFields &Fields, const char *Key) {
  const Json *Found = Fields.find(Key);
  return Found ? Fields.take(tableVersionFromJson(*Found)) : TableVersion();
}

std::optional<TableCursor> cursorField(MessageFields &Fields, const char *Key) {
  const Json *Found = Fields.find(Key);
  if (!Found)
    return std::nullopt;
  return Fields.take(tableCursorFromJson(*Found));
}

std::optional<TableChunk> chunkField(MessageFields &Fields, const char *Key) {
  const Json *Found = Fields.find(Key);
  if (!Found)
    return std::nullopt;
  return Fields.take(tableChunkFromJson(*Found));
}

std::vector<ParentCandidate> candidatesFrom(MessageFields &Fields,
                                            const Json &List) {
  std::vector<ParentCandidate> Candidates;
  for (const Json &Entry : List) {
    if (!Entry.is_array() || Entry.size() != 2 || !Entry[0].is_string() ||
        !Entry[1].is_string()) {
      Fields.recordError("malformed parent");
      continue;
    }
    Candidates.push_back({NodeName(Entry[0].get<std::string>()),
                          Endpoint(Entry[1].get<std::string>())});
  }
  return Candidates;
}

std::vector<NodeName> chainFrom(MessageFields &Fields) {
  std::vector<NodeName> Chain;
  const Json *List = Fields.array("ch");
  if (List == nullptr)
    return Chain;
  for (const Json &Entry : *List) {
    if (!Entry.is_string())
      Fields.recordError("malformed chain of parents");
    else if (Chain.size() < MaxChain)
      Chain.emplace_back(Entry.get<std::string>());
  }
  return Chain;
}

Result<TableChunk> decompressChunk(std::string_view Data,
                                   std::size_t MaxChunkBytes) {
  auto Text = decompressText(Data, MaxChunkBytes);
  if (!Text)
    return tl::make_unexpected(Text.error());
  auto Value = parseJson(*Text);
  if (!Value)
    return tl::make_unexpected(Value.error());
  return tableChunkFromJson(*Value);
}

} // namespace

Json toJson(const SyncRequest &Request) {
  Json Value = {{"n", Request.Node.str()},
                {"i", Request.Start.value()},
                {"z", Request.Zone.str()},
                {"q", Request.Sequence}};
  if (!Request.Cluster.empty()) {
    Value["c"] = Request.Cluster.str();
    Value["r"] = Request.InForce.value();
  }
  if (Request.Members != TableVersion())
    Value["m"] = toJson(Request.Members);
  if (Request.Refused)
    Value["x"] = Request.Refused->value();
  if (Request.ReplicatedCursor)
    Value["rc"] = toJson(*Request.ReplicatedCursor);
  if (Request.MemberCursor)
    Value["mc"] = toJson(*Request.MemberCursor);
  if (!Request.Uplink.empty())
    Value["u"] = toJson(Request.Uplink);
  if (Request.WantsParents)
    Value["wp"] = true;
  if (Request.Fallback)
    Value["fb"] = true;
  if (Request.WantsConfirmation)
    Value["wc"] = true;
  if (Request.ReportOnly)
    Value["ro"] = true;
  if (Request.TakesCompressed)
    Value["cz"] = true;
  return Value;
}

Result<SyncRequest> syncRequestFromJson(const Json &Value, Instant Now) {
  MessageFields Fields(Value, "sync request");
  SyncRequest Request;
  Request.Node = NodeName(Fields.text("n"));
  Request.Start = Incarnation(Fields.number("i"));
  Request.Zone = ZoneName(Fields.text("z"));
  Request.Sequence = Fields.number("q");
  Request.Cluster = ClusterId(Fields.textOr("c", ""));
  Request.InForce = Revision(Fields.numberOr("r", 0));
  Request.Members = versionField(Fields, "m");
  if (Fields.find("x"))
    Request.Refused = Revision(Fields.number("x"));
  Request.ReplicatedCursor = cursorField(Fields, "rc");
  Request.MemberCursor = cursorField(Fields, "mc");
  if (const Json *Uplink = Fields.find("u"))
    Request.Uplink = Fields.take(uplinkBatchFromJson(*Uplink, Now));
  Request.WantsParents = Fields.flag("wp");
  Request.Fallback = Fields.flag("fb");
  Request.WantsConfirmation = Fields.flag("wc");
  Request.ReportOnly = Fields.flag("ro");
  Request.TakesCompressed = Fields.flag("cz");
  if (Request.Node.empty())
    Fields.recordError("field n is empty");
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  return Request;
}

Json toJson(const SyncResponse &Response) {
  Json Value = {{"q", Response.Sequence}};
  if (Response.RetryAfter) {
    Value["ra"] = milliseconds(*Response.RetryAfter);
    return Value;
  }
  if (!Response.Cluster.empty()) {
    Value["c"] = Response.Cluster.str();
    Value["r"] = Response.InForce.value();
  }
  Value["m"] = toJson(Response.Members);
  Value["h"] = milliseconds(Response.Hold);
  if (Response.SourceAge != Duration::zero())
    Value["sa"] = milliseconds(Response.SourceAge);
  for (const NodeName &Followed : Response.Chain)
    Value["ch"].push_back(Followed.str());
  if (Response.ReplicatedChunk)
    Value["rc"] = toJson(*Response.ReplicatedChunk);
  if (Response.MemberChunk)
    Value["mc"] = toJson(*Response.MemberChunk);
  if (Response.Confirmed)
    Value["cf"] = Response.Confirmed->value();
  if (Response.Parents) {
    Json Parents = Json::array();
    for (const ParentCandidate &Parent : *Response.Parents)
      Parents.push_back(Json::array({Parent.Node.str(), Parent.Address.str()}));
    Value["p"] = std::move(Parents);
  }
  return Value;
}

Result<SyncResponse> syncResponseFromJson(const Json &Value) {
  MessageFields Fields(Value, "sync response");
  SyncResponse Response;
  Response.Sequence = Fields.number("q");
  if (Fields.find("ra"))
    Response.RetryAfter = fromMilliseconds(Fields.number("ra"));
  Response.Cluster = ClusterId(Fields.textOr("c", ""));
  Response.InForce = Revision(Fields.numberOr("r", 0));
  Response.Members = versionField(Fields, "m");
  Response.Hold = fromMilliseconds(Fields.numberOr("h", 1000));
  Response.SourceAge = fromMilliseconds(Fields.numberOr("sa", 0));
  Response.Chain = chainFrom(Fields);
  Response.ReplicatedChunk = chunkField(Fields, "rc");
  Response.MemberChunk = chunkField(Fields, "mc");
  if (Fields.find("cf"))
    Response.Confirmed = Revision(Fields.number("cf"));
  if (const Json *Parents = Fields.array("p"))
    Response.Parents = candidatesFrom(Fields, *Parents);
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  return Response;
}

std::string encodeSyncResponse(const SyncResponse &Response) {
  Json Head = toJson(Response);
  std::string Chunks;
  auto Append = [&Head, &Chunks](const char *LengthKey,
                                 const SharedChunk &Chunk) {
    if (!Chunk)
      return;
    Head[LengthKey] = std::uint64_t(Chunk->Data.size());
    Chunks += Chunk->Data;
  };
  Append("rz", Response.CompressedReplicatedChunk);
  Append("mz", Response.CompressedMemberChunk);
  std::string Body = dumpJson(Head);
  if (!Chunks.empty())
    Body.append("\n").append(Chunks);
  return Body;
}

Result<SyncResponse> decodeSyncResponse(std::string_view Body,
                                        std::size_t MaxChunkBytes) {
  const std::size_t HeadEnd = std::min(Body.find('\n'), Body.size());
  auto Head = parseJson(Body.substr(0, HeadEnd));
  if (!Head)
    return tl::make_unexpected(Head.error());
  auto Response = syncResponseFromJson(*Head);
  if (!Response)
    return Response;
  std::string_view Rest = Body.substr(std::min(HeadEnd + 1, Body.size()));
  for (auto [LengthKey, Target] : {std::pair("rz", &Response->ReplicatedChunk),
                                   std::pair("mz", &Response->MemberChunk)}) {
    const std::uint64_t Length = numberAt(*Head, LengthKey);
    if (Length == 0)
      continue;
    if (Length > Rest.size())
      return fail(ErrorCode::InvalidArgument,
                  "a compressed chunk is shorter than its length says");
    auto Chunk = decompressChunk(Rest.substr(0, Length), MaxChunkBytes);
    if (!Chunk)
      return tl::make_unexpected(Chunk.error());
    *Target = std::move(*Chunk);
    if (Target == &Response->ReplicatedChunk)
      Response->CompressedReplicatedChunk = std::make_shared<EncodedChunk>(
          EncodedChunk{std::string(Rest.substr(0, Length)), 0,
                       (*Target)->Next.has_value()});
    Rest.remove_prefix(Length);
  }
  return Response;
}

} // namespace amaranthward
