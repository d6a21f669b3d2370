#include "libdistribution/tablestaging.h"

#include "libcore/units.h"
#include <doctest/doctest.h>

using namespace amaranthward;

namespace {

constexpr std::size_t Unbounded = 1U << 30;

ResourceTable makeTable(std::size_t MaxTombstones = 2048) {
  return *ResourceTable::create({MaxTombstones});
}

Json valueOf(std::uint64_t Number) { return {{"number", Number}}; }

/// A receiver that requests one chunk at a time from any sender.
struct Receiver {
  ResourceTable Table;
  TableStaging Staging;

  bool pull(const ResourceTable &Sender, std::size_t MaxBytes) {
    if (Sender.current() <= this->Table.current())
      return false;
    const auto &Cursor = this->Staging.cursor();
    const bool Continues = Cursor && Sender.canContinue(*Cursor);
    const TableChunk Chunk = Continues
                                 ? Sender.read(*Cursor, MaxBytes)
                                 : Sender.read(this->Table.current(), MaxBytes);
    auto Decoded = tableChunkFromJson(toJson(Chunk));
    REQUIRE(Decoded.has_value());
    if (!this->Staging.add(*Decoded))
      return false;
    REQUIRE(this->Staging.installInto(this->Table).has_value());
    this->Staging.clear();
    return true;
  }
};

} // namespace

TEST_CASE("Chunked transfers from changing senders give the exact table") {
  // Guards against lost or resurrected keys when between two chunks the
  // sender's table changes, a relay takes over, or tombstones are dropped.
  std::size_t Transfers = 0;
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    RandomFunction Random = seededRandom(Seed);
    ResourceTable Source = makeTable(12);
    std::map<TableVersion, ResourceMap> History;
    // The first two receivers also serve the others, as relays do.
    std::vector<Receiver> Receivers(5, Receiver{makeTable(12), {}});
    std::uint64_t Number = 0;
    for (int Step = 0; Step < 600; ++Step) {
      if (Random() % 4 == 0) {
        std::vector<ResourceChange> Changes;
        for (std::uint64_t Left = Random() % 6; Left > 0; --Left) {
          ResourceChange Change{"key/" + std::to_string(Random() % 40), {}};
          if (Random() % 3 != 0)
            Change.Value = valueOf(Random() % 1000);
          Changes.push_back(std::move(Change));
        }
        REQUIRE(Source.apply(Changes, TableVersion::of(Revision(++Number)))
                    .has_value());
        History[Source.current()] = Source.resources();
        continue;
      }
      const std::size_t Index = Random() % Receivers.size();
      const std::size_t From = Random() % 3;
      const ResourceTable &Sender =
          From == 0 || Index < 2 ? Source : Receivers[From - 1].Table;
      if (!Receivers[Index].pull(Sender, 60 + Random() % 300))
        continue;
      ++Transfers;
      const ResourceTable &Table = Receivers[Index].Table;
      REQUIRE(Table.resources() == History.at(Table.current()));
    }
  }
  CHECK(Transfers > 1000);
}

TEST_CASE("A delta holds only the latest change of each key") {
  // Guards against replaying every change to a node that was disconnected.
  ResourceTable Source = makeTable();
  std::vector<ResourceChange> Initial;
  for (std::uint64_t Key = 0; Key < 500; ++Key)
    Initial.push_back({"route/" + std::to_string(Key), valueOf(Key)});
  REQUIRE(Source.apply(Initial, TableVersion::of(Revision(1))).has_value());
  for (std::uint64_t Number = 2; Number <= 501; ++Number)
    REQUIRE(
        Source
            .apply({{"route/" + std::to_string(Number % 10), valueOf(Number)}},
                   TableVersion::of(Revision(Number)))
            .has_value());
  const TableChunk Delta =
      Source.read(TableVersion::of(Revision(1)), Unbounded);
  CHECK_FALSE(Delta.Snapshot);
  CHECK(Delta.Changes.size() == 10);
  CHECK(Delta.Current == TableVersion::of(Revision(501)));
}

TEST_CASE("The smaller of delta and snapshot is sent") {
  ResourceTable Source = makeTable();
  std::vector<ResourceChange> Entries;
  for (std::uint64_t Key = 0; Key < 100; ++Key)
    Entries.push_back({"key/" + std::to_string(Key), valueOf(Key)});
  REQUIRE(Source.apply(Entries, TableVersion::of(Revision(1))).has_value());
  for (ResourceChange &Change : Entries)
    Change.Value.reset();
  Entries.back().Value = valueOf(1);
  REQUIRE(Source.apply(Entries, TableVersion::of(Revision(2))).has_value());
  const TableChunk Chunk =
      Source.read(TableVersion::of(Revision(1)), Unbounded);
  CHECK(Chunk.Snapshot);
  CHECK(Chunk.Changes.size() == 1);
}

TEST_CASE("Below the floor only a snapshot is sent") {
  // Guards against a removal that a delta would not contain because its
  // tombstone was dropped.
  ResourceTable Source = makeTable(1);
  std::vector<ResourceChange> Entries;
  for (std::uint64_t Key = 0; Key < 100; ++Key)
    Entries.push_back({"key/" + std::to_string(Key), valueOf(Key)});
  REQUIRE(Source.apply(Entries, TableVersion::of(Revision(1))).has_value());
  REQUIRE(
      Source.apply({{"key/1", {}}}, TableVersion::of(Revision(2))).has_value());
  CHECK_FALSE(Source.read(TableVersion::of(Revision(1)), Unbounded).Snapshot);
  REQUIRE(
      Source.apply({{"key/2", {}}}, TableVersion::of(Revision(3))).has_value());
  CHECK(Source.floor() == TableVersion::of(Revision(2)));
  CHECK(Source.read(TableVersion::of(Revision(1)), Unbounded).Snapshot);
  CHECK_FALSE(Source.read(TableVersion::of(Revision(2)), Unbounded).Snapshot);
}

TEST_CASE("Chunks are bounded, apart from a single large resource") {
  ResourceTable Source = makeTable();
  std::vector<ResourceChange> Entries;
  for (std::uint64_t Key = 0; Key < 300; ++Key)
    Entries.push_back({"key/" + std::to_string(Key), valueOf(Key)});
  Entries.push_back({"large", std::string(5000, 'x')});
  REQUIRE(Source.apply(Entries, TableVersion::of(Revision(1))).has_value());
  TableChunk Chunk = Source.read(TableVersion(), 1000);
  std::size_t Received = 0;
  for (;;) {
    Received += Chunk.Changes.size();
    const std::size_t Encoded = dumpJson(toJson(Chunk)).size();
    // 200 bytes are allowed for versions and the cursor.
    CHECK((Encoded <= 1200 || Chunk.Changes.size() == 1));
    if (!Chunk.Next)
      break;
    Chunk = Source.read(*Chunk.Next, 1000);
  }
  CHECK(Received == 301);
}

TEST_CASE("Members of earlier epochs stay until the new table is complete") {
  // Guards against mass removal of members after a leader change.
  ResourceTable Old = makeTable();
  REQUIRE(
      Old.apply({{"member/a", valueOf(1)}, {"member/b", valueOf(2)}}, {1, 1}));
  Receiver Child{makeTable(), {}};
  REQUIRE(Child.pull(Old, Unbounded));
  ResourceTable New = makeTable();
  New.beginEpoch({2, 0});
  REQUIRE(New.apply({{"member/a", valueOf(1)}}, {2, 1}).has_value());
  REQUIRE(Child.pull(New, Unbounded));
  CHECK_FALSE(Child.Table.complete());
  CHECK(Child.Table.find("member/b") != nullptr);
  REQUIRE(New.apply({{"member/c", valueOf(3)}}, {2, 2}).has_value());
  New.markComplete({2, 3});
  REQUIRE(Child.pull(New, Unbounded));
  CHECK(Child.Table.complete());
  CHECK(Child.Table.resources() == New.resources());
}

TEST_CASE("apply refuses a version that is not above the current one") {
  ResourceTable Table = makeTable();
  REQUIRE(Table.apply({{"a", valueOf(1)}}, TableVersion::of(Revision(5)))
              .has_value());
  CHECK((Table.apply({{"a", valueOf(2)}}, TableVersion::of(Revision(5)))
             .error()
             .Code == ErrorCode::Stale));
  CHECK(*Table.find("a") == valueOf(1));
}
