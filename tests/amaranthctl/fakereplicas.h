#ifndef AMARANTHWARD_TESTS_AMARANTHCTL_FAKEREPLICAS_H
#define AMARANTHWARD_TESTS_AMARANTHCTL_FAKEREPLICAS_H

#include "amaranthctl/commandcontext.h"
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <sstream>

namespace amaranthward {

/// Control replicas with scripted answers and a clock that only sleeps move.
class FakeReplicas {
public:
  using Answer = Result<HttpResponse>;

  static Answer json(int Status, const Json &Body,
                     const std::string &Leader = "") {
    HttpResponse Response;
    Response.Head.Status = Status;
    if (!Leader.empty())
      Response.Head.Headers.add("Amaranth-Leader", Leader);
    Response.Body = dumpJson(Body);
    return Response;
  }
  static Answer lost() { return fail(ErrorCode::Timeout, "no answer"); }

  /// The answers of one replica to one path; the last one repeats.
  void script(const std::string &Address, const std::string &Path,
              std::deque<Answer> Answers) {
    this->Scripts[Address + Path] = std::move(Answers);
  }

  ControlClient::Hooks hooks() {
    ControlClient::Hooks Made;
    Made.Send = [this](const Endpoint &At, const HttpRequestHead &Head,
                       const std::string &Body) {
      return this->send(At, Head, Body);
    };
    Made.Sleep = [this](Duration Time) { this->Now += Time; };
    Made.Now = [this] { return this->Now; };
    return Made;
  }

  CommandContext context(CommandOptions Options) {
    return {Options,
            {Endpoint("10.0.0.1:7000"), Endpoint("10.0.0.2:7000")},
            this->hooks(),
            [] { return WallTime(std::chrono::seconds(1796382000)); },
            this->Out,
            this->Err};
  }

  std::ostringstream Out;
  std::ostringstream Err;
  /// "ADDRESS METHOD TARGET" of every request.
  std::vector<std::string> Requests;
  std::vector<std::string> Bodies;

private:
  Answer send(const Endpoint &At, const HttpRequestHead &Head,
              const std::string &Body) {
    this->Requests.push_back(At.str() + ' ' + Head.Method + ' ' + Head.Target);
    this->Bodies.push_back(Body);
    auto Found = this->Scripts.find(At.str() + pathOf(Head.Target));
    if (Found == this->Scripts.end())
      return fail(ErrorCode::Unavailable, "connection refused");
    Answer Next = Found->second.front();
    if (Found->second.size() > 1)
      Found->second.pop_front();
    return Next;
  }

  std::map<std::string, std::deque<Answer>> Scripts;
  Instant Now = Instant(std::chrono::hours(1));
};

} // namespace amaranthward

#endif
