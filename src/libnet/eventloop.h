#ifndef AMARANTHWARD_LIBNET_EVENTLOOP_H
#define AMARANTHWARD_LIBNET_EVENTLOOP_H

#include "libcore/metrics.h"
#include "libcore/result.h"
#include "libcore/units.h"
#include <Poco/Net/Socket.h>
#include <functional>
#include <memory>

namespace amaranthward {

/// The one loop of a process: sockets and timers on a single thread.
///
/// Only \a stop may be called from a signal handler or another thread.
class EventLoop {
public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;

  struct SocketHooks {
    Task OnReadable;
    Task OnWritable;
    Task OnError;
  };

  static Result<std::unique_ptr<EventLoop>> create();
  virtual ~EventLoop() = default;

  virtual Instant now() const = 0;

  /// Runs \a Work once after \a Delay.
  virtual TimerId after(Duration Delay, Task Work) = 0;
  /// Runs \a Work every \a Interval until cancelled.
  virtual TimerId every(Duration Interval, Task Work) = 0;
  /// Does nothing when the timer has already fired.
  virtual void cancel(TimerId Timer) = 0;
  /// Runs \a Work after the current event has been handled.
  virtual void post(Task Work) = 0;

  /// Watches a socket. \a OnReadable is watched from the start when set;
  /// writability only after \a watchWrites.
  virtual void add(const Poco::Net::Socket &Socket, SocketHooks Hooks) = 0;
  virtual void watchReads(const Poco::Net::Socket &Socket, bool Enabled) = 0;
  virtual void watchWrites(const Poco::Net::Socket &Socket, bool Enabled) = 0;
  virtual void remove(const Poco::Net::Socket &Socket) = 0;

  virtual void run() = 0;
  virtual void stop() = 0;

  /// Longest time that one turn of the loop took between two polls.
  virtual Duration longestPause() const = 0;
  /// Upper bound of the time for which the event that is being handled has
  /// waited for this loop. An event that was ready when the loop polled may
  /// have waited for the whole turn before.
  virtual Duration eventLag() const = 0;
  /// Calls \a OnTurn after each turn with the time that it took.
  virtual void observeTurns(std::function<void(Duration)> OnTurn) = 0;
};

} // namespace amaranthward

#endif
