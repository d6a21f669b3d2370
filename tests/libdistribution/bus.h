#ifndef AMARANTHWARD_TESTS_LIBDISTRIBUTION_BUS_H
#define AMARANTHWARD_TESTS_LIBDISTRIBUTION_BUS_H

#include "libcore/units.h"
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace amaranthward {

/// Simulated network: delivers messages between simulated processes in virtual
/// time, with latency and duplicates. The same seed gives the same run.
struct Bus {
  explicit Bus(std::uint64_t Seed) : Random(seededRandom(Seed)) {}

  void at(Instant When, std::function<void()> Work) {
    this->Events[{When, ++this->Added}] = std::move(Work);
  }
  bool connected(const std::string &From, const std::string &To) const {
    return !this->Disconnected.contains(From) &&
           !this->Disconnected.contains(To);
  }
  void send(const std::string &From, const std::string &To, std::size_t Bytes,
            std::function<void()> Deliver) {
    this->BytesOut[From] += Bytes;
    ++this->MessagesOut[From];
    auto Arrive = [this, From, To, Bytes, Deliver = std::move(Deliver)] {
      if (!this->connected(From, To))
        return;
      this->BytesIn[To] += Bytes;
      Deliver();
    };
    const Instant Sent = this->transmit(From, Bytes);
    if (this->Random() % 100 < this->DuplicatePercent)
      this->at(Sent + this->delay(), Arrive);
    this->at(Sent + this->delay(), std::move(Arrive));
  }
  /// Occupies the link of \a From; returns when the last byte is sent.
  Instant transmit(const std::string &From, std::size_t Bytes) {
    auto Speed = this->BytesPerSecond.find(From);
    if (Speed == this->BytesPerSecond.end())
      return this->Now;
    Instant &Free = this->LinkFreeAt[From];
    Free =
        std::max(Free, this->Now) + Duration(Bytes * 1'000'000 / Speed->second);
    return Free;
  }
  Duration delay() {
    const std::int64_t Spread = this->MaxExtraLatency.count() + 1;
    return this->Latency +
           Duration(this->Random() % static_cast<std::uint64_t>(Spread));
  }
  void run(Duration For) {
    const Instant End = this->Now + For;
    while (!this->Events.empty() && this->Events.begin()->first.first <= End) {
      auto Next = this->Events.extract(this->Events.begin());
      this->Now = std::max(this->Now, Next.key().first);
      Next.mapped()();
    }
    this->Now = End;
  }

  RandomFunction Random;
  Instant Now = Instant(std::chrono::seconds(100));
  Duration Latency = std::chrono::milliseconds(1);
  Duration MaxExtraLatency = Duration::zero();
  std::uint64_t DuplicatePercent = 0;
  /// Addresses whose messages are dropped in both directions without an error.
  std::set<std::string> Disconnected;
  std::map<std::string, std::uint64_t> BytesOut, BytesIn, MessagesOut;
  /// Links with a limit, by sender.
  std::map<std::string, std::uint64_t> BytesPerSecond;

private:
  std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> Events;
  std::uint64_t Added = 0;
  std::map<std::string, Instant> LinkFreeAt;
};

} // namespace amaranthward

#endif
