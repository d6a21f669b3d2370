#ifndef AMARANTHWARD_TESTS_LIBCONSENSUS_MESSAGEBUS_H
#define AMARANTHWARD_TESTS_LIBCONSENSUS_MESSAGEBUS_H

#include "libcore/json.h"
#include "libcore/units.h"
#include <functional>
#include <map>
#include <set>
#include <string>

namespace amaranthward {

/// Carries messages as text in virtual time; loses, repeats and reorders them.
class MessageBus {
public:
  using Receiver = std::function<void(const std::string &From,
                                      const std::string &To, const Json &)>;

  explicit MessageBus(std::uint64_t Seed) : Random(seededRandom(Seed)) {}

  RandomFunction Random;
  Instant Now = Instant(std::chrono::hours(1));
  int LossPercent = 0;
  int DuplicatePercent = 0;
  /// Messages take 1 ms to this time, in random order.
  int MaxDelayMs = 3;
  std::size_t Messages = 0;

  void cut(const std::string &Name) { this->Isolated.insert(Name); }
  void heal() { this->Isolated.clear(); }
  bool isCut(const std::string &Name) const {
    return this->Isolated.contains(Name);
  }

protected:
  void post(const std::string &From, const std::string &To,
            const Json &Message) {
    ++this->Messages;
    auto Percent = [this] { return static_cast<int>(this->Random() % 100); };
    int Copies = Percent() < this->LossPercent        ? 0
                 : Percent() < this->DuplicatePercent ? 2
                                                      : 1;
    for (; Copies > 0; --Copies) {
      auto Delay = std::chrono::milliseconds(
          1 + this->Random() % static_cast<unsigned>(this->MaxDelayMs));
      this->Underway.emplace(this->Now + Delay,
                             Letter{From, To, dumpJson(Message)});
    }
  }

  void deliver(const Receiver &Receive) {
    while (!this->Underway.empty() &&
           this->Underway.begin()->first <= this->Now) {
      Letter Next = std::move(this->Underway.begin()->second);
      this->Underway.erase(this->Underway.begin());
      if (!this->isCut(Next.From) && !this->isCut(Next.To))
        Receive(Next.From, Next.To, Json::parse(Next.Text));
    }
  }

private:
  struct Letter {
    std::string From;
    std::string To;
    std::string Text;
  };
  std::set<std::string> Isolated;
  std::multimap<Instant, Letter> Underway;
};

} // namespace amaranthward

#endif
