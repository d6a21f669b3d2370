#include "amaranthctl/explainrequest.h"

#include "libcore/json.h"
#include <algorithm>
#include <set>
#include <sstream>

namespace amaranthward {

namespace {

struct LogLine {
  std::uint64_t TimeMs = 0;
  /// The file, and what a log collector put in front of the line.
  std::string Origin;
  Json Fields;
};

std::string trimmed(const std::string &Text) {
  std::size_t End = Text.find_last_not_of(" \t");
  return End == std::string::npos ? "" : Text.substr(0, End + 1);
}

/// Lines that are no structured lines are left out.
void readLines(const std::string &File, const std::string &Text,
               std::vector<LogLine> &All) {
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    std::size_t Start = Line.find('{');
    if (Start == std::string::npos)
      continue;
    auto Fields = parseJson(Line.substr(Start));
    if (!Fields || !Fields->is_object())
      continue;
    std::string Origin = File;
    if (std::string Prefix = trimmed(Line.substr(0, Start)); !Prefix.empty())
      Origin.append(" ").append(Prefix);
    All.push_back(
        {numberAt(*Fields, "time_ms"), std::move(Origin), std::move(*Fields)});
  }
}

/// Lines of the request, and those that carry one of its calls' ids.
std::vector<LogLine> linesAbout(const std::string &Id,
                                const std::vector<LogLine> &All) {
  std::set<std::string> Calls = {Id};
  for (const LogLine &Each : All)
    if (textAt(Each.Fields, "request") == Id)
      Calls.insert(textAt(Each.Fields, "call"));
  Calls.erase("");
  std::vector<LogLine> Found;
  for (const LogLine &Each : All)
    if (textAt(Each.Fields, "request") == Id ||
        Calls.contains(textAt(Each.Fields, "call")))
      Found.push_back(Each);
  std::stable_sort(Found.begin(), Found.end(),
                   [](const LogLine &Left, const LogLine &Right) {
                     return Left.TimeMs < Right.TimeMs;
                   });
  return Found;
}

void print(const LogLine &Line, std::ostream &Out) {
  static const std::set<std::string> Heading = {"time_ms", "level", "part",
                                                "event", "request"};
  Out << Line.TimeMs << "  " << Line.Origin << "  "
      << textAt(Line.Fields, "part") << ' ' << textAt(Line.Fields, "event");
  for (const auto &[Name, Value] : Line.Fields.items())
    if (!Heading.contains(Name) && Value != "")
      Out << ' ' << Name << '='
          << (Value.is_string() ? Value.get<std::string>() : dumpJson(Value));
  Out << '\n';
}

} // namespace

ExitCode ExplainRequest::run(CommandContext &Context) {
  const std::vector<std::string> &Words = Context.Options.Arguments;
  if (Words.size() < 2)
    return Context.report(ExitCode::InvalidInput,
                          "explain needs a request ID and one FILE or more");
  std::vector<LogLine> All;
  for (auto File = Words.begin() + 1; File != Words.end(); ++File) {
    auto Text = readWholeFile(*File);
    if (!Text)
      return Context.report(ExitCode::InvalidInput, Text.error().Message);
    readLines(*File, *Text, All);
  }
  std::vector<LogLine> Found = linesAbout(Words[0], All);
  if (Found.empty())
    return Context.report(ExitCode::Refused,
                          "no line about request " + Words[0] + " in " +
                              std::to_string(All.size()) + " lines");
  for (const LogLine &Each : Found) {
    if (Context.Options.AsJson)
      Context.Out << dumpJson(Each.Fields) << '\n';
    else
      print(Each, Context.Out);
  }
  return ExitCode::Ok;
}

} // namespace amaranthward
