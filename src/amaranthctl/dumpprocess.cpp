#include "amaranthctl/dumpprocess.h"

#include "libconfig/textunits.h"

namespace amaranthward {

ExitCode DumpProcess::run(CommandContext &Context) {
  if (Context.Options.Arguments.size() != 1)
    return Context.report(ExitCode::InvalidInput, "dump needs one ADDRESS");
  auto Address = parseEndpoint(Context.Options.Arguments[0]);
  if (!Address)
    return Context.report(ExitCode::InvalidInput,
                          '"' + Context.Options.Arguments[0] +
                              "\" is not an address IP:PORT");
  HttpRequestHead Head;
  Head.Method = "GET";
  Head.Target = "/v1/dump";
  auto Response = Context.Hooks.Send(*Address, Head, "");
  if (!Response)
    return Context.report(ExitCode::NoReplica,
                          Address->str() + ": " + Response.error().Message);
  auto Value = parseJson(Response->Body);
  if (Response->Head.Status != 200 || !Value)
    return Context.report(ExitCode::Refused,
                          Address->str() + " answered with status " +
                              std::to_string(Response->Head.Status) +
                              (Value ? "" : " and no JSON"));
  int Indent = Context.Options.AsJson ? -1 : 2;
  Context.Out << Value->dump(Indent, ' ', false, Json::error_handler_t::replace)
              << '\n';
  return ExitCode::Ok;
}

} // namespace amaranthward
