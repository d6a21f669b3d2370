#include "amaranthctl/showhistory.h"

#include "amaranthctl/reports.h"

namespace amaranthward {

ExitCode ShowHistory::run(CommandContext &Context) {
  auto History = Context.fetch("/v1/history");
  if (!History)
    return History.error();
  if (Context.Options.AsJson)
    Context.Out << dumpJson(*History) << '\n';
  else
    Context.Out << historyReport(*History);
  return ExitCode::Ok;
}

} // namespace amaranthward
