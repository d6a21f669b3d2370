#ifndef AMARANTHWARD_LIBNET_STREAMCONNECTION_H
#define AMARANTHWARD_LIBNET_STREAMCONNECTION_H

#include "libnet/eventloop.h"
#include <Poco/Net/StreamSocket.h>
#include <string>
#include <string_view>

namespace amaranthward {

/// How a connection ended.
enum class ConnectionEnd {
  /// The peer sent all it had and closed its direction.
  Ordered,
  /// It was reset or broke; what was sent last may be missing.
  Failed,
};

/// Buffered bytes over one non-blocking TCP connection.
///
/// Writes made during one event are sent together after it. No hook is called
/// after \a close.
class StreamConnection : public std::enable_shared_from_this<StreamConnection> {
public:
  struct Hooks {
    std::function<void()> OnConnected;
    std::function<void(std::string_view)> OnData;
    /// The connection is closed.
    std::function<void(ConnectionEnd How, const std::string &Reason)> OnClosed;
    std::function<void()> OnDrained;
  };

  static constexpr std::size_t HighWater = 64UL * 1024;
  static constexpr std::size_t LowWater = 16UL * 1024;

  /// Takes over a connected socket.
  static std::shared_ptr<StreamConnection>
  accept(EventLoop &Loop, const Poco::Net::StreamSocket &Socket,
         Hooks NewHooks);
  /// Starts to connect; fails when the system refuses at once.
  static Result<std::shared_ptr<StreamConnection>>
  connect(EventLoop &Loop, const Poco::Net::SocketAddress &Address,
          Hooks NewHooks);

  ~StreamConnection();

  /// Returns false when the buffer is above its high-water mark.
  bool write(std::string_view Data);
  void watchReads(bool Enabled);
  void close();
  /// Ends the sending direction once the buffer is empty.
  void finishWrites();

  bool connected() const { return this->Connected; }
  bool closed() const { return this->Closed; }
  std::size_t pending() const { return this->Out.size() - this->Sent; }
  std::uint64_t bytesIn() const { return this->TotalIn; }
  std::uint64_t bytesOut() const { return this->TotalOut; }
  /// True when the peer has closed or sent bytes nobody asked for.
  bool peerActed();
  /// True when the connection has ended and all its bytes are read, also before
  /// the event loop has handled the end.
  bool peerClosed();

private:
  StreamConnection(EventLoop &Loop, const Poco::Net::StreamSocket &Socket,
                   Hooks NewHooks);
  void start();
  void onReadable();
  void onWritable();
  void onError();
  void flush();
  void scheduleFlush();
  void end(ConnectionEnd How, const std::string &Reason);
  void fail(const std::string &Reason) {
    this->end(ConnectionEnd::Failed, Reason);
  }
  void afterFlush();
  /// Number of bytes that can be read, at most 1; 0 at the end of the
  /// connection, -1 when nothing has arrived.
  int peek();

  EventLoop &Loop;
  Poco::Net::StreamSocket Socket;
  std::shared_ptr<Hooks> Callbacks;
  std::string Out;
  std::size_t Sent = 0;
  std::uint64_t TotalIn = 0;
  std::uint64_t TotalOut = 0;
  bool Connected = true;
  bool Closed = false;
  bool FlushScheduled = false;
  bool AboveHighWater = false;
  bool Finishing = false;
};

} // namespace amaranthward

#endif
