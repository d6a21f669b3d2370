#include "libdistribution/mesh.h"

#include <stdexcept>

using namespace std::chrono_literals;

namespace amaranthward {

Mesh::Mesh(std::uint64_t Seed, MeshOptions Options)
    : Wire(Seed), Options(std::move(Options)),
      Sessions(*SessionTable::create({})) {
  this->Leader.Self.PeerAddress = Endpoint("control:1");
  this->Leader.State.Cluster = ClusterId("cluster-one");
  this->ByAddress[this->Leader.Self.PeerAddress] = &this->Leader;
  for (std::size_t Index = 0;
       Index < this->Options.Zones * this->Options.NodesPerZone; ++Index) {
    const std::string Number = std::to_string(Index);
    auto One = std::make_unique<Process>();
    One->Self = {
        NodeName("node-" + Number),
        Incarnation(),
        ZoneName("zone-" + std::to_string(Index % this->Options.Zones)),
        RegionName("region-1"),
        Endpoint("10.0." + std::to_string(Index / 250) + "." +
                 std::to_string(Index % 250) + ":7000"),
        ServiceName("service-" + std::to_string(Index % 310)),
        VersionName("v1"),
        9,
        120};
    this->ByAddress[One->Self.PeerAddress] = One.get();
    this->Nodes.push_back(std::move(One));
  }
  this->electLeader();
  this->tickAll();
}

void Mesh::electLeader() {
  this->Leader.Alive = true;
  this->Sessions->becomeLeader(Term(++this->LastTerm),
                               this->Leader.State.Members, this->Wire.Now);
  SyncServerHooks Hooks;
  Hooks.ConfirmedSince = [this](Instant) {
    return std::optional(this->Leader.State.inForce());
  };
  Hooks.ParentsFor = [this](const SyncRequest &Request) {
    this->View.refresh(this->Leader.State.Members);
    return this->View.parentsFor(Request);
  };
  Hooks.OnUplink = [this](Urgency) {
    const UplinkBatch Batch = this->Leader.Server->takeUplink();
    for (const auto &[Reporter, One] : Batch.observations())
      this->Reports.push_back(One);
    this->publish(this->Sessions->absorb(Batch, this->Wire.Now));
  };
  this->makeServer(this->Leader, std::move(Hooks));
}

void Mesh::publish(Urgency How) {
  if (!this->Sessions->publish(this->Leader.State.Members, this->Wire.Now))
    return;
  if (How == Urgency::Immediate)
    this->Leader.Server->wakeAll(this->Wire.Now);
  else
    this->Leader.Server->wake(this->Wire.Now);
}

void Mesh::change(const std::vector<ResourceChange> &Changes, Revision Next) {
  if (!this->Leader.State.Replicated.apply(Changes, TableVersion::of(Next)))
    throw std::logic_error("a change has an old revision");
  this->Leader.Server->wake(this->Wire.Now);
}

void Mesh::makeServer(Process &Owner, SyncServerHooks Hooks) {
  Hooks.Random = this->Wire.Random;
  Owner.Server =
      *SyncServer::create(Owner.State, this->Options.Server, std::move(Hooks));
}

void Mesh::makeClient(Process &Owner) {
  SyncClientHooks Hooks;
  Hooks.Random = this->Wire.Random;
  Hooks.CheckClosure = this->Options.CheckClosure;
  Hooks.Send = [this, &Owner](const Endpoint &To, const SyncRequest &Request) {
    this->request(Owner, To, Request);
  };
  Hooks.MayApply = [&Owner](const ClusterId &Cluster, Revision Next) {
    return Owner.Gate->mayApply(Cluster, Next);
  };
  Hooks.OnConfirmed = [&Owner](const ClusterId &Cluster, Revision Current) {
    Owner.Gate->confirmed(Cluster, Current);
  };
  Hooks.OnChanged = [this, &Owner](bool Replicated, bool) {
    if (Replicated)
      Owner.Gate->applied(Owner.State.Cluster, Owner.State.inForce());
    Owner.Server->wake(this->Wire.Now);
    if (this->Options.OnChanged)
      this->Options.OnChanged(Owner);
  };
  std::vector<ParentCandidate> Witnesses;
  RevisionGuardOptions GateOptions;
  for (const auto &Other : this->Nodes)
    if (Other.get() != &Owner && Other->Self.Zone == Owner.Self.Zone) {
      Witnesses.push_back({Other->Self.Node, Other->Self.PeerAddress});
      GateOptions.Witnesses.push_back(Other->Self.Node);
      if (Witnesses.size() == 2)
        break;
    }
  Owner.Gate = *RevisionGuard::create(GateOptions, this->Wire.Now);
  Owner.Client = *SyncClient::create(Owner.State, Owner.Self,
                                     {this->Leader.Self.PeerAddress}, Witnesses,
                                     this->Options.Client, std::move(Hooks));
  Owner.Client->requestConfirmation(true);
}

void Mesh::startNode(std::size_t Index) {
  Process &One = *this->Nodes.at(Index);
  One.Alive = true;
  ++One.Life;
  One.Self.Start = Incarnation(this->Wire.Random());
  One.State = *DistributedState::create(this->Options.Tables);
  SyncServerHooks Hooks;
  Hooks.SourceAge = [&One](Instant Now) { return One.Client->sourceAge(Now); };
  Hooks.OnUplink = [this, &One](Urgency How) {
    One.Client->addUplink(One.Server->takeUplink(), How, this->Wire.Now);
  };
  this->makeServer(One, std::move(Hooks));
  this->makeClient(One);
  One.Client->start(this->Wire.Now);
}

void Mesh::stopNode(std::size_t Index) {
  this->Nodes.at(Index)->Alive = false;
  ++this->Nodes.at(Index)->Life;
}

void Mesh::startAll() {
  for (std::size_t Index = 0; Index < this->Nodes.size(); ++Index)
    this->startNode(Index);
}

void Mesh::request(Process &From, const Endpoint &To,
                   const SyncRequest &Request) {
  const std::string Me = From.Self.PeerAddress.str();
  if (this->Mute.contains(Me))
    return;
  const std::uint64_t Life = From.Life;
  const std::string Text = dumpJson(toJson(Request));
  auto Answer = [=, this, &From](const SyncResponse &Response) {
    const std::string Body = dumpJson(toJson(Response));
    this->Wire.send(To.str(), Me, Body.size(), [=, this, &From] {
      if (From.Life == Life)
        From.Client->onResponse(
            syncResponseFromJson(parseJson(Body).value()).value(),
            this->Wire.Now);
    });
  };
  this->Wire.send(Me, To.str(), Text.size(), [=, this, &From] {
    Process &Target = *this->ByAddress.at(To);
    if (Target.Alive)
      Target.Server->handle(
          syncRequestFromJson(parseJson(Text).value(), this->Wire.Now).value(),
          this->Wire.Now, Answer);
    else if (From.Life == Life)
      From.Client->onFailure(Request.Sequence, this->Wire.Now);
  });
}

void Mesh::tickAll() {
  if (this->Leader.Alive) {
    this->publish(this->Sessions->tick(this->Wire.Now));
    this->Leader.Server->tick(this->Wire.Now);
  }
  for (const auto &One : this->Nodes)
    if (One->Alive) {
      One->Client->tick(this->Wire.Now);
      One->Server->tick(this->Wire.Now);
    }
  this->Wire.at(this->Wire.Now + 20ms, [this] { this->tickAll(); });
}

bool Mesh::converged() const {
  const DistributedState &Source = this->Leader.State;
  for (const auto &One : this->Nodes)
    if (One->Alive &&
        (One->State.Replicated.current() != Source.Replicated.current() ||
         One->State.Members.current() != Source.Members.current()))
      return false;
  return true;
}

std::optional<Duration> Mesh::runUntil(const std::function<bool()> &Done,
                                       Duration Limit) {
  const Instant Begin = this->Wire.Now;
  while (!Done()) {
    if (this->Wire.Now - Begin >= Limit)
      return std::nullopt;
    this->Wire.run(1ms);
  }
  return this->Wire.Now - Begin;
}

} // namespace amaranthward
