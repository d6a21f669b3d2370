#include "libproxy/responsecheck.h"

#include <doctest/doctest.h>

using namespace amaranthward;

namespace {

HeaderNames allNames() {
  HeaderNames Names;
  Names.RequestId = "Id";
  Names.Signature = "Signature";
  Names.ExpectedInstance = "Expected";
  Names.NotExecuted = "Not-Executed";
  return Names;
}

HttpHeaders request() {
  HttpHeaders Sent;
  Sent.add("Id", "r1");
  Sent.add("Expected", "i1");
  return Sent;
}

ResponseFault check(int Status, const std::vector<HttpHeaders::Field> &Fields) {
  HttpResponseHead Response;
  Response.Status = Status;
  for (const auto &[Name, Value] : Fields)
    Response.Headers.add(Name, Value);
  return checkResponse(allNames(), request(), Response);
}

} // namespace

TEST_CASE("Only a signed response to the same request is accepted") {
  // Guards against a caller that gets the late response to another request.
  CHECK(check(200, {{"Id", "r1"}, {"Signature", "s"}}) == ResponseFault::None);
  CHECK(check(200, {{"Id", "r0"}, {"Signature", "s"}}) ==
        ResponseFault::WrongRequest);
  CHECK(check(200, {{"Signature", "s"}}) == ResponseFault::WrongRequest);
  CHECK(check(200, {{"Id", "r1"}}) == ResponseFault::Unsigned);
  CHECK(check(200, {{"Id", "r1"},
                    {"Signature", "s"},
                    {"Content-Encoding", "gzip"}}) == ResponseFault::Unsigned);
  CHECK(check(500, {{"Id", "r1"}}) == ResponseFault::None);
}

TEST_CASE("A status that implies 'not run' needs the upstream's statement") {
  // Guards against a caller that sends an order again although it ran.
  CHECK(check(503, {{"Not-Executed", "1"}}) == ResponseFault::NotExecuted);
  CHECK(check(421, {{"Id", "r1"}}) == ResponseFault::OtherInstance);
  for (int Status : {408, 429, 503})
    CHECK(check(Status, {{"Id", "r1"}}) == ResponseFault::UnconfirmedNotRun);
  CHECK(check(503, {{"Id", "r0"}, {"Not-Executed", "1"}}) ==
        ResponseFault::WrongRequest);
}

TEST_CASE("Without configured header names every response is accepted") {
  HttpResponseHead Response;
  Response.Status = 503;
  CHECK(checkResponse(HeaderNames(), {}, Response) == ResponseFault::None);
}
