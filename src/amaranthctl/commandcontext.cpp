#include "amaranthctl/commandcontext.h"

#include <fstream>
#include <sstream>

namespace amaranthward {

Result<ControlClient> CommandContext::client() {
  return ControlClient::create(this->Control, this->Hooks);
}

ExitCode CommandContext::report(ExitCode Code, const std::string &Problem) {
  this->Err << "amaranthctl: " << Problem << '\n';
  return Code;
}

tl::expected<Json, ExitCode> CommandContext::fetch(const std::string &Target) {
  auto Client = this->client();
  if (!Client)
    return tl::make_unexpected(this->report(
        ExitCode::InvalidInput, Client.error().Message + "; give --control"));
  auto Answer = Client->call("GET", Target, "", this->Options.Timeout);
  if (!Answer)
    return tl::make_unexpected(
        this->report(ExitCode::NoReplica,
                     "no control replica answers: " + Answer.error().Message));
  if (Answer->Status != 200)
    return tl::make_unexpected(
        this->report(ExitCode::Refused, "the replica answered with status " +
                                            std::to_string(Answer->Status)));
  return std::move(Answer->Body);
}

Result<std::string> readWholeFile(const std::string &Name) {
  std::ifstream Input(Name, std::ios::binary);
  std::ostringstream Text;
  if (Input)
    Text << Input.rdbuf();
  if (!Input || Input.bad())
    return fail(ErrorCode::Io, "cannot read " + Name);
  return Text.str();
}

} // namespace amaranthward
