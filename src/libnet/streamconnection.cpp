#include "libnet/streamconnection.h"
#include <Poco/Exception.h>
#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace amaranthward {

namespace {

constexpr std::size_t ReadSize = 64UL * 1024;

/// One buffer serves all connections, because each read is handed on before
/// the next one starts.
std::array<char, ReadSize> &readBuffer() {
  thread_local std::array<char, ReadSize> Buffer;
  return Buffer;
}

} // namespace

StreamConnection::StreamConnection(EventLoop &Loop,
                                   const Poco::Net::StreamSocket &Socket,
                                   Hooks NewHooks)
    : Loop(Loop), Socket(Socket),
      Callbacks(std::make_shared<Hooks>(std::move(NewHooks))) {}

std::shared_ptr<StreamConnection>
StreamConnection::accept(EventLoop &Loop, const Poco::Net::StreamSocket &Socket,
                         Hooks NewHooks) {
  std::shared_ptr<StreamConnection> Made(
      new StreamConnection(Loop, Socket, std::move(NewHooks)));
  Made->start();
  return Made;
}

Result<std::shared_ptr<StreamConnection>> StreamConnection::connect(
    EventLoop &Loop, const Poco::Net::SocketAddress &Address, Hooks NewHooks) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connectNB(Address);
    std::shared_ptr<StreamConnection> Made(
        new StreamConnection(Loop, Socket, std::move(NewHooks)));
    Made->Connected = false;
    Made->start();
    Loop.watchWrites(Made->Socket, true);
    return Made;
  } catch (const Poco::Exception &Thrown) {
    return amaranthward::fail(ErrorCode::Unavailable, Thrown.displayText());
  }
}

StreamConnection::~StreamConnection() { this->close(); }

void StreamConnection::start() {
  try {
    this->Socket.setBlocking(false);
    this->Socket.setNoDelay(true);
  } catch (const Poco::Exception &) {
    // The peer may have reset the connection; the first read reports it.
  }
  std::weak_ptr<StreamConnection> Self = this->weak_from_this();
  auto Guarded = [Self](void (StreamConnection::*Member)()) {
    return [Self, Member] {
      if (auto Kept = Self.lock())
        (Kept.get()->*Member)();
    };
  };
  this->Loop.add(this->Socket, {Guarded(&StreamConnection::onReadable),
                                Guarded(&StreamConnection::onWritable),
                                Guarded(&StreamConnection::onError)});
}

bool StreamConnection::write(std::string_view Data) {
  if (this->Closed || this->Finishing)
    return true;
  this->Out.append(Data);
  if (this->pending() >= HighWater && this->Connected)
    this->flush();
  else
    this->scheduleFlush();
  if (this->pending() > HighWater)
    this->AboveHighWater = true;
  return !this->AboveHighWater;
}

void StreamConnection::watchReads(bool Enabled) {
  if (!this->Closed)
    this->Loop.watchReads(this->Socket, Enabled);
}

void StreamConnection::close() {
  if (this->Closed)
    return;
  this->Closed = true;
  this->Loop.remove(this->Socket);
  this->Callbacks = std::make_shared<Hooks>();
  try {
    this->Socket.close();
  } catch (const Poco::Exception &) {
    // Nothing more can be done for this descriptor.
  }
}

void StreamConnection::finishWrites() {
  this->Finishing = true;
  this->scheduleFlush();
}

int StreamConnection::peek() {
  if (this->Closed)
    return 0;
  try {
    char Byte = 0;
    return this->Socket.receiveBytes(&Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } catch (const Poco::Exception &) {
    return 0;
  }
}

bool StreamConnection::peerActed() { return this->peek() >= 0; }

bool StreamConnection::peerClosed() { return this->peek() == 0; }

void StreamConnection::onReadable() {
  if (!this->Connected)
    return;
  int Count = 0;
  try {
    auto &Buffer = readBuffer();
    Count = this->Socket.receiveBytes(Buffer.data(),
                                      static_cast<int>(Buffer.size()));
    if (Count < 0)
      return;
  } catch (const Poco::Exception &Thrown) {
    this->fail(Thrown.displayText());
    return;
  }
  if (Count == 0) {
    this->end(ConnectionEnd::Ordered, "the peer closed the connection");
    return;
  }
  this->TotalIn += static_cast<std::uint64_t>(Count);
  auto Kept = this->Callbacks;
  if (Kept->OnData)
    Kept->OnData({readBuffer().data(), static_cast<std::size_t>(Count)});
}

void StreamConnection::onWritable() {
  if (!this->Connected) {
    if (int Code = this->Socket.impl()->socketError(); Code != 0) {
      this->fail("cannot connect (error " + std::to_string(Code) + ")");
      return;
    }
    this->Connected = true;
    auto Kept = this->Callbacks;
    if (Kept->OnConnected)
      Kept->OnConnected();
    if (this->Closed)
      return;
  }
  this->flush();
}

void StreamConnection::onError() {
  // A readable socket reports the cause itself; this covers paused reads and
  // failed connects.
  int Code = 0;
  try {
    Code = this->Socket.impl()->socketError();
  } catch (const Poco::Exception &) {
    Code = -1;
  }
  this->fail("socket error " + std::to_string(Code));
}

void StreamConnection::scheduleFlush() {
  if (this->FlushScheduled || !this->Connected)
    return;
  this->FlushScheduled = true;
  this->Loop.post([Self = this->shared_from_this()] {
    Self->FlushScheduled = false;
    Self->flush();
  });
}

void StreamConnection::flush() {
  if (this->Closed || !this->Connected)
    return;
  try {
    while (this->pending() > 0) {
      int Count = this->Socket.sendBytes(this->Out.data() + this->Sent,
                                         static_cast<int>(this->pending()),
                                         MSG_NOSIGNAL);
      if (Count <= 0)
        break;
      this->Sent += static_cast<std::size_t>(Count);
      this->TotalOut += static_cast<std::uint64_t>(Count);
    }
  } catch (const Poco::Exception &Thrown) {
    // POCO throws when a non-blocking send finds the socket full.
    if (Thrown.code() != EAGAIN) {
      // Reported later, because the writer may be in the middle of its work.
      this->Loop.post([Self = this->shared_from_this(),
                       Reason = Thrown.displayText()] { Self->fail(Reason); });
      return;
    }
  }
  this->afterFlush();
}

void StreamConnection::afterFlush() {
  if (this->pending() == 0) {
    this->Out.clear();
    this->Sent = 0;
  } else if (this->Sent > HighWater) {
    this->Out.erase(0, this->Sent);
    this->Sent = 0;
  }
  this->Loop.watchWrites(this->Socket, this->pending() > 0);
  if (this->Finishing && this->pending() == 0) {
    try {
      this->Socket.shutdownSend();
    } catch (const Poco::Exception &) {
      // The peer is gone already.
    }
  }
  if (!this->AboveHighWater || this->pending() >= LowWater)
    return;
  this->AboveHighWater = false;
  this->Loop.post([Self = this->shared_from_this()] {
    auto Kept = Self->Callbacks;
    if (Kept->OnDrained)
      Kept->OnDrained();
  });
}

void StreamConnection::end(ConnectionEnd How, const std::string &Reason) {
  if (this->Closed)
    return;
  auto Self = this->shared_from_this();
  auto Kept = this->Callbacks;
  this->close();
  if (Kept->OnClosed)
    Kept->OnClosed(How, Reason);
}

} // namespace amaranthward
