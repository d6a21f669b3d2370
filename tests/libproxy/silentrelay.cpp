#include "libproxy/silentrelay.h"

namespace amaranthward {

SilentRelay::SilentRelay(EventLoop &Loop, const Endpoint &Target)
    : Loop(Loop), Target(Target),
      Listener(Poco::Net::SocketAddress("127.0.0.1:0")) {
  Loop.add(this->Listener, {[this] { this->accept(); }, {}, {}});
}

SilentRelay::~SilentRelay() {
  this->Loop.remove(this->Listener);
  for (const auto &Each : this->Pairs) {
    Each->Near->close();
    Each->Far->close();
  }
}

Endpoint SilentRelay::address() const {
  return Endpoint(this->Listener.address().toString());
}

void SilentRelay::goSilent() {
  for (const auto &Each : this->Pairs)
    Each->SwallowRequests = Each->SwallowResponses = true;
}

void SilentRelay::swallowResponses() {
  for (const auto &Each : this->Pairs)
    Each->SwallowResponses = true;
}

void SilentRelay::goSilentForGood() {
  this->goSilent();
  this->SilentForGood = true;
}

void SilentRelay::cutResponsesAfter(std::size_t Bytes) {
  this->CutAfter = Bytes;
}

void SilentRelay::accept() {
  auto Made = std::make_shared<Pair>();
  Made->SwallowRequests = Made->SwallowResponses = this->SilentForGood;
  StreamConnection::Hooks Near;
  Near.OnData = [Made](std::string_view Data) {
    if (!Made->SwallowRequests)
      Made->Far->write(Data);
  };
  Near.OnClosed = [Made](ConnectionEnd, const std::string &) {
    if (!Made->SwallowRequests)
      Made->Far->close();
  };
  StreamConnection::Hooks Far;
  Far.OnData = [this, Made](std::string_view Data) {
    if (Made->SwallowResponses)
      return;
    Made->ResponseBytes += Data.size();
    if (this->CutAfter > 0 && Made->ResponseBytes > this->CutAfter) {
      std::size_t Extra = Made->ResponseBytes - this->CutAfter;
      Made->Near->write(Data.substr(0, Data.size() - Extra));
      Made->Near->finishWrites();
      Made->SwallowResponses = true;
      return;
    }
    Made->Near->write(Data);
  };
  Far.OnClosed = [Made](ConnectionEnd, const std::string &) {
    if (!Made->SwallowResponses)
      Made->Near->close();
  };
  Made->Near = StreamConnection::accept(
      this->Loop, this->Listener.acceptConnection(), std::move(Near));
  Made->Far = *StreamConnection::connect(
      this->Loop, Poco::Net::SocketAddress(this->Target.str()), std::move(Far));
  this->Pairs.push_back(Made);
}

} // namespace amaranthward
