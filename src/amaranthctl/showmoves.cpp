#include "amaranthctl/showmoves.h"

#include "amaranthctl/reports.h"

namespace amaranthward {

namespace {

// The replica holds a request this long when there is no news.
constexpr int LongPollMilliseconds = 5000;

void print(CommandContext &Context, const Json &Answer) {
  if (!Answer.is_object() || !Answer.contains("events"))
    return;
  for (const Json &Event : Answer["events"]) {
    if (Context.Options.AsJson)
      Context.Out << dumpJson(Event) << '\n';
    else
      Context.Out << moveLine(Event) << '\n';
  }
  Context.Out.flush();
}

} // namespace

ExitCode ShowMoves::run(CommandContext &Context) {
  auto Answer = Context.fetch("/v1/moves?after=0");
  while (Answer) {
    print(Context, *Answer);
    if (!Context.Options.Follow)
      return ExitCode::Ok;
    Answer = Context.fetch(
        "/v1/moves?after=" + std::to_string(numberAt(*Answer, "last")) +
        "&wait_ms=" + std::to_string(LongPollMilliseconds));
  }
  return Answer.error();
}

} // namespace amaranthward
