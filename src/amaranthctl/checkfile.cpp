#include "amaranthctl/checkfile.h"

#include "amaranthctl/reports.h"
#include "libconfig/configurationcodec.h"
#include "libconfig/configurationreader.h"

namespace amaranthward {

ExitCode CheckFile::run(CommandContext &Context) {
  if (Context.Options.Arguments.size() != 1)
    return Context.report(ExitCode::InvalidInput, "check needs one FILE");
  const std::string &Name = Context.Options.Arguments[0];
  auto Text = readWholeFile(Name);
  if (!Text)
    return Context.report(ExitCode::InvalidInput, Text.error().Message);
  ReadOutcome Outcome = readConfiguration(*Text, Name, Context.Wall());
  ExitCode Code = Outcome.Set ? ExitCode::Ok : ExitCode::InvalidInput;
  if (Context.Options.AsJson) {
    Json Report = {{"valid", Outcome.Set.has_value()},
                   {"findings", findingsJson(Outcome.All)}};
    if (Outcome.Set) {
      Report["version"] = Outcome.Set->Version.value();
      Report["digest"] = digestOf(*Outcome.Set);
    }
    Context.Out << dumpJson(Report) << '\n';
    return Code;
  }
  Context.Err << findingsReport(Outcome.All);
  if (Outcome.Set)
    Context.Out << Name << ": valid, version " << Outcome.Set->Version.value()
                << ", digest " << digestOf(*Outcome.Set) << '\n';
  return Code;
}

} // namespace amaranthward
