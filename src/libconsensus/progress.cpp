#include "libconsensus/progress.h"

#include <algorithm>

namespace amaranthward {

void Progress::confirm(LogIndex Through) {
  this->Match = std::max(this->Match, Through);
  this->Next = std::max(this->Next, this->Match.next());
  this->Probing = false;
  while (!this->Inflight.empty() &&
         this->Inflight.front().first <= this->Match) {
    this->InflightBytes -= this->Inflight.front().second;
    this->Inflight.pop_front();
  }
  if (this->Sending && this->Match >= this->Sending->Last) {
    this->Sending.reset();
    this->Next = this->Match.next();
  }
}

void Progress::restartAt(LogIndex From) {
  this->Next = std::max(From, this->Match.next());
  this->Probing = true;
  this->Inflight.clear();
  this->InflightBytes = 0;
}

} // namespace amaranthward
