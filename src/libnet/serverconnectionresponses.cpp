#include "libnet/serverconnection.h"

namespace amaranthward {

// The peer may wait for this before it sends the body.
void ServerConnection::sendContinue(PendingResponse &One) {
  if (!One.ExpectsContinue || !One.Callbacks || One.HeadSent ||
      (this->isLast(One) && this->BodyPaused))
    return;
  One.ExpectsContinue = false;
  this->sendInterim(One.Sequence, 100);
}

bool ServerConnection::write(PendingResponse &One, std::string_view Data) {
  if (&One == &this->Requests.front())
    return this->Stream->write(Data);
  One.Out.append(Data);
  return One.Out.size() < StreamConnection::HighWater;
}

void ServerConnection::sendInterim(std::uint64_t Which, int Status) {
  PendingResponse &One = *this->find(Which);
  if (One.HeadSent || Status < 100 || Status > 199)
    return;
  HttpResponseHead Head;
  Head.Status = Status;
  this->write(One, serializeResponseHead(Head, false, false));
}

void ServerConnection::sendHead(std::uint64_t Which,
                                const HttpResponseHead &Head) {
  PendingResponse &One = *this->find(Which);
  if (One.HeadSent)
    return;
  One.HeadSent = true;
  // A draining server closes after the last request that it has read.
  bool Drained = this->Server->Draining() && this->isLast(One) && !this->Held;
  if (Drained || connectionHas(Head.Headers, "close"))
    One.CloseAfter = true;
  One.NoBody = bodyless(Head.Status, One.HeadRequest);
  One.LeftToSend = Head.BodyLength;
  this->write(One,
              serializeResponseHead(Head, One.HeadRequest, One.CloseAfter));
}

bool ServerConnection::sendBody(std::uint64_t Which, std::string_view Data) {
  PendingResponse &One = *this->find(Which);
  if (!One.HeadSent || One.NoBody || Data.empty())
    return true;
  if (One.LeftToSend) {
    if (Data.size() > *One.LeftToSend) {
      this->abort(Which);
      return true;
    }
    *One.LeftToSend -= Data.size();
    return this->write(One, Data);
  }
  std::string Prefix;
  appendChunkSize(Prefix, Data.size());
  this->write(One, Prefix);
  this->write(One, Data);
  return this->write(One, "\r\n");
}

void ServerConnection::finish(std::uint64_t Which) {
  PendingResponse &One = *this->find(Which);
  // A response shorter than announced must look broken to the peer.
  if (!One.HeadSent || (!One.NoBody && One.LeftToSend.value_or(0) > 0)) {
    this->abort(Which);
    return;
  }
  if (!One.NoBody && !One.LeftToSend)
    this->write(One, LastChunk);
  if (this->Phase == State::Body && this->isLast(One)) {
    this->Phase = this->skipReceivedBody() ? State::Head : State::Stopped;
    if (this->Phase == State::Stopped)
      One.CloseAfter = true;
  }
  this->endResponse(One);
}

bool ServerConnection::skipReceivedBody() {
  BodyDecoder::Step Step;
  do {
    Step = this->Decoder.decode(this->unread());
    this->Used += Step.Consumed;
  } while (Step.Consumed > 0 && !this->Decoder.done());
  return this->Decoder.done();
}

void ServerConnection::endResponse(PendingResponse &One) {
  One.Finished = true;
  One.Callbacks.reset();
  this->advance();
}

void ServerConnection::advance() {
  auto Self = this->shared_from_this();
  while (!this->Requests.empty()) {
    PendingResponse &First = this->Requests.front();
    if (!First.Out.empty()) {
      this->Stream->write(First.Out);
      std::string().swap(First.Out);
      // It may have been held back by the size of its buffer.
      this->Loop.post([Self] { Self->onDrained(); });
    }
    // Complete responses before the broken one must still arrive.
    if (First.Broken)
      return this->Stream->pending() > 0 ? this->startClosing()
                                         : this->abortAll();
    if (!First.Finished)
      break;
    bool Close = First.CloseAfter;
    this->Requests.pop_front();
    if (Close)
      return this->startClosing();
  }
  if (this->Phase == State::Closed)
    return;
  this->PhaseStart = this->Loop.now();
  if (!this->Pumping)
    this->Loop.post([Self] { Self->pump(); });
}

// What stands behind a response that closes the connection is not answered; the
// peer knows that and sends it again.
void ServerConnection::startClosing() {
  std::deque<PendingResponse> Behind = std::move(this->Requests);
  this->Requests.clear();
  this->Held.reset();
  this->Phase = State::Closing;
  this->PhaseStart = this->Loop.now();
  this->Stream->finishWrites();
  this->updateReads();
  for (const PendingResponse &One : Behind)
    if (One.Callbacks && One.Callbacks->OnAborted)
      One.Callbacks->OnAborted();
}

void ServerConnection::abort(std::uint64_t Which) {
  PendingResponse *One = this->find(Which);
  if (!One)
    return;
  One->Broken = true;
  One->Callbacks.reset();
  // The rest of its body must not be taken for the next request.
  if (this->Phase == State::Body && this->isLast(*One))
    this->Phase = State::Stopped;
  this->advance();
}

} // namespace amaranthward
