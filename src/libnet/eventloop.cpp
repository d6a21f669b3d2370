#include "libnet/eventloop.h"
#include "libcore/eventlog.h"
#include <Poco/Net/PollSet.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <atomic>
#include <csignal>
#include <deque>
#include <map>
#include <sys/socket.h>
#include <unordered_map>

namespace amaranthward {

namespace {

using Poco::Net::PollSet;
using Poco::Net::Socket;
using Poco::Net::SocketImpl;

constexpr Duration LongestPoll = std::chrono::milliseconds(1000);
/// A turn of the loop that takes longer delays heartbeats noticeably.
constexpr Duration LongPause = std::chrono::milliseconds(100);
/// A poll that takes longer has waited, so no event was ready when it began.
constexpr Duration BlockedPoll = std::chrono::milliseconds(1);

struct Watch {
  EventLoop::SocketHooks Hooks;
  int Mode = 0;
  bool Alive = true;
};

struct Timer {
  EventLoop::Task Work;
  Duration Interval{0};
};

class PollEventLoop final : public EventLoop {
public:
  PollEventLoop(int WakeReader, int WakeWriter)
      : Log(logFor("net")), WakeIn(new Poco::Net::StreamSocketImpl(WakeReader)),
        WakeOut(new Poco::Net::StreamSocketImpl(WakeWriter)),
        WakeDescriptor(WakeWriter) {
    this->WakeIn.setBlocking(false);
    this->add(this->WakeIn, {[this] { this->drainWakeUps(); }, {}, {}});
  }

  Instant now() const override { return monotonicNow(); }

  TimerId after(Duration Delay, Task Work) override {
    return this->schedule(Delay, {std::move(Work), Duration(0)});
  }

  TimerId every(Duration Interval, Task Work) override {
    Duration Step = std::max(Interval, Duration(1));
    return this->schedule(Step, {std::move(Work), Step});
  }

  void cancel(TimerId Id) override {
    auto Found = this->DueTimes.find(Id);
    if (Found == this->DueTimes.end())
      return;
    this->Timers.erase({Found->second, Id});
    this->DueTimes.erase(Found);
  }

  void post(Task Work) override { this->Posted.push_back(std::move(Work)); }

  void add(const Socket &Added, SocketHooks Hooks) override {
    auto Entry = std::make_shared<Watch>();
    Entry->Mode = PollSet::POLL_ERROR;
    if (Hooks.OnReadable)
      Entry->Mode |= PollSet::POLL_READ;
    Entry->Hooks = std::move(Hooks);
    this->remove(Added);
    this->Watches[Added.impl()] = Entry;
    this->guarded([&] { this->Polled.add(Added, Entry->Mode); });
  }

  void watchReads(const Socket &Watched, bool Enabled) override {
    this->setMode(Watched, PollSet::POLL_READ, Enabled);
  }

  void watchWrites(const Socket &Watched, bool Enabled) override {
    this->setMode(Watched, PollSet::POLL_WRITE, Enabled);
  }

  void remove(const Socket &Removed) override {
    auto Found = this->Watches.find(Removed.impl());
    if (Found == this->Watches.end())
      return;
    Found->second->Alive = false;
    this->Watches.erase(Found);
    this->guarded([&] { this->Polled.remove(Removed); });
  }

  void run() override {
    while (!this->Stopped.exchange(false)) {
      PollSet::SocketModeMap Ready;
      Instant PollStart = monotonicNow();
      this->guarded([&] { Ready = this->Polled.poll(this->pollTime()); });
      Instant Start = monotonicNow();
      this->TurnStart = Start;
      this->LagAtStart = Start - PollStart < BlockedPoll
                             ? PollStart - this->TurnBefore
                             : Duration(0);
      this->TurnBefore = Start;
      for (const auto &[Which, Mode] : Ready)
        this->dispatch(Which, Mode);
      this->runTimers();
      this->runPosted();
      Instant End = monotonicNow();
      this->notePause(End - Start);
      flushLog(End);
    }
  }

  void stop() override {
    this->Stopped.store(true);
    // send() is async-signal-safe; a full buffer means a wake-up is pending.
    char Byte = 0;
    (void)::send(this->WakeDescriptor, &Byte, 1, MSG_DONTWAIT | MSG_NOSIGNAL);
  }

  Duration longestPause() const override { return this->Pause; }

  Duration eventLag() const override {
    return this->LagAtStart + (monotonicNow() - this->TurnStart);
  }

  void observeTurns(std::function<void(Duration)> OnTurn) override {
    this->OnTurn = std::move(OnTurn);
  }

private:
  void notePause(Duration Turn) {
    if (this->OnTurn)
      this->OnTurn(Turn);
    this->Pause = std::max(this->Pause, Turn);
    if (Turn >= LongPause)
      this->Log->warn("A turn of the event loop took {} ms.",
                      Turn.count() / 1000);
  }

  TimerId schedule(Duration Delay, Timer Entry) {
    TimerId Id = ++this->LastTimer;
    Instant Due = monotonicNow() + std::max(Delay, Duration(0));
    this->Timers.emplace(std::pair(Due, Id), std::move(Entry));
    this->DueTimes[Id] = Due;
    return Id;
  }

  /// POCO polls in whole milliseconds, so the time is rounded up.
  Poco::Timespan pollTime() const {
    if (!this->Posted.empty() || this->Stopped.load())
      return 0;
    Duration Wait = LongestPoll;
    if (!this->Timers.empty())
      Wait = std::min(
          Wait, Duration(this->Timers.begin()->first.first - monotonicNow()));
    if (Wait <= Duration(0))
      return 0;
    return Poco::Timespan((Wait.count() + 999) / 1000 * 1000);
  }

  void dispatch(const Socket &Which, int Mode) {
    this->call(Which, Mode, PollSet::POLL_READ, &SocketHooks::OnReadable);
    this->call(Which, Mode, PollSet::POLL_WRITE, &SocketHooks::OnWritable);
    this->call(Which, Mode, PollSet::POLL_ERROR, &SocketHooks::OnError);
  }

  void call(const Socket &Which, int Mode, int Wanted,
            Task SocketHooks::*Hook) {
    if ((Mode & Wanted) == 0)
      return;
    auto Found = this->Watches.find(Which.impl());
    if (Found == this->Watches.end())
      return;
    // The copy keeps the hooks alive when one of them removes its socket.
    std::shared_ptr<Watch> Entry = Found->second;
    if (!(Entry->Mode & Wanted) || !(Entry->Hooks.*Hook))
      return;
    this->guarded(Entry->Hooks.*Hook);
    this->runPosted();
  }

  void runTimers() {
    Instant Now = monotonicNow();
    while (!this->Timers.empty() && this->Timers.begin()->first.first <= Now) {
      auto Node = this->Timers.extract(this->Timers.begin());
      TimerId Id = Node.key().second;
      Task Work = Node.mapped().Work;
      if (Node.mapped().Interval > Duration(0)) {
        Instant Next = Now + Node.mapped().Interval;
        this->DueTimes[Id] = Next;
        this->Timers.emplace(std::pair(Next, Id), std::move(Node.mapped()));
      } else {
        this->DueTimes.erase(Id);
      }
      this->guarded(Work);
      this->runPosted();
    }
  }

  /// Work posted while this runs waits for the next call, so that sockets
  /// are never starved.
  void runPosted() {
    for (std::size_t Left = this->Posted.size(); Left > 0; --Left) {
      Task Work = std::move(this->Posted.front());
      this->Posted.pop_front();
      this->guarded(Work);
    }
  }

  void setMode(const Socket &Changed, int Bit, bool Enabled) {
    auto Found = this->Watches.find(Changed.impl());
    if (Found == this->Watches.end())
      return;
    int Mode = Enabled ? Found->second->Mode | Bit : Found->second->Mode & ~Bit;
    if (Mode == Found->second->Mode)
      return;
    Found->second->Mode = Mode;
    this->guarded([&] { this->Polled.update(Changed, Mode); });
  }

  void drainWakeUps() {
    char Bytes[64];
    while (this->WakeIn.receiveBytes(Bytes, sizeof(Bytes)) > 0)
      continue;
  }

  template <typename Function> void guarded(const Function &Work) {
    try {
      Work();
    } catch (const std::exception &Thrown) {
      this->Log->error("An event handler threw {}.", Thrown.what());
    } catch (...) {
      this->Log->error("An event handler threw an unknown exception.");
    }
  }

  std::shared_ptr<spdlog::logger> Log;
  PollSet Polled;
  std::unordered_map<SocketImpl *, std::shared_ptr<Watch>> Watches;
  std::map<std::pair<Instant, TimerId>, Timer> Timers;
  std::unordered_map<TimerId, Instant> DueTimes;
  std::deque<Task> Posted;
  TimerId LastTimer = 0;
  Duration Pause{0};
  Instant TurnStart = monotonicNow();
  /// Start of the turn before.
  Instant TurnBefore = monotonicNow();
  Duration LagAtStart{0};
  std::function<void(Duration)> OnTurn;
  Poco::Net::StreamSocket WakeIn;
  Poco::Net::StreamSocket WakeOut;
  int WakeDescriptor;
  std::atomic<bool> Stopped = false;
};

static_assert(std::atomic<bool>::is_always_lock_free);

} // namespace

Result<std::unique_ptr<EventLoop>> EventLoop::create() {
  std::signal(SIGPIPE, SIG_IGN);
  int Pair[2];
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, Pair) != 0)
    return fail(ErrorCode::Io, "cannot create the wake-up socket pair");
  try {
    return std::make_unique<PollEventLoop>(Pair[0], Pair[1]);
  } catch (const Poco::Exception &Thrown) {
    return fail(ErrorCode::Io,
                "cannot create the event loop: " + Thrown.displayText());
  }
}

} // namespace amaranthward
