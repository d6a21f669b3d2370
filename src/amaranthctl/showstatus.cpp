#include "amaranthctl/showstatus.h"

#include "amaranthctl/reports.h"

namespace amaranthward {

ExitCode ShowStatus::run(CommandContext &Context) {
  auto Status = Context.fetch("/v1/status");
  if (!Status)
    return Status.error();
  if (Context.Options.AsJson)
    Context.Out << dumpJson(*Status) << '\n';
  else
    Context.Out << statusReport(*Status);
  return ExitCode::Ok;
}

} // namespace amaranthward
