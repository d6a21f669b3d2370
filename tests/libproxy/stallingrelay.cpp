#include "libproxy/stallingrelay.h"

namespace amaranthward {

StallingRelay::StallingRelay(EventLoop &Loop, const Endpoint &Target)
    : Loop(Loop), Target(Target),
      Listener(Poco::Net::SocketAddress("127.0.0.1:0")) {
  Loop.add(this->Listener, {[this] { this->accept(); }, {}, {}});
}

StallingRelay::~StallingRelay() {
  this->Loop.remove(this->Listener);
  for (const auto &Each : this->Pairs) {
    Each->ClientSide->close();
    Each->TargetSide->close();
  }
}

Endpoint StallingRelay::address() const {
  return Endpoint(this->Listener.address().toString());
}

void StallingRelay::stallOpenConnections() {
  for (const auto &Each : this->Pairs)
    Each->DropRequests = Each->DropResponses = true;
}

void StallingRelay::dropResponses() {
  for (const auto &Each : this->Pairs)
    Each->DropResponses = true;
}

void StallingRelay::stallAllConnections() {
  this->stallOpenConnections();
  this->StallAll = true;
}

void StallingRelay::cutResponsesAfter(std::size_t Bytes) {
  this->CutAfter = Bytes;
}

void StallingRelay::accept() {
  auto Made = std::make_shared<Pair>();
  Made->DropRequests = Made->DropResponses = this->StallAll;
  StreamConnection::Hooks ClientSide;
  ClientSide.OnData = [Made](std::string_view Data) {
    if (!Made->DropRequests)
      Made->TargetSide->write(Data);
  };
  ClientSide.OnClosed = [Made](ConnectionEnd, const std::string &) {
    if (!Made->DropRequests)
      Made->TargetSide->close();
  };
  StreamConnection::Hooks TargetSide;
  TargetSide.OnData = [this, Made](std::string_view Data) {
    if (Made->DropResponses)
      return;
    Made->ResponseBytes += Data.size();
    if (this->CutAfter > 0 && Made->ResponseBytes > this->CutAfter) {
      std::size_t Extra = Made->ResponseBytes - this->CutAfter;
      Made->ClientSide->write(Data.substr(0, Data.size() - Extra));
      Made->ClientSide->finishWrites();
      Made->DropResponses = true;
      return;
    }
    Made->ClientSide->write(Data);
  };
  TargetSide.OnClosed = [Made](ConnectionEnd, const std::string &) {
    if (!Made->DropResponses)
      Made->ClientSide->close();
  };
  Made->ClientSide = StreamConnection::accept(
      this->Loop, this->Listener.acceptConnection(), std::move(ClientSide));
  Made->TargetSide = *StreamConnection::connect(
      this->Loop, Poco::Net::SocketAddress(this->Target.str()),
      std::move(TargetSide));
  this->Pairs.push_back(Made);
}

} // namespace amaranthward
