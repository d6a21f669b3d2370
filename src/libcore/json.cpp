#include "libcore/json.h"

#include <algorithm>

namespace amaranthward {

namespace {

/// Most objects and arrays open at one place of \a Text. Exact for valid JSON.
int nestingDepth(std::string_view Text) {
  int Open = 0;
  int Most = 0;
  bool InString = false;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    const char Next = Text[At];
    if (InString) {
      if (Next == '\\')
        ++At;
      else if (Next == '"')
        InString = false;
    } else if (Next == '"') {
      InString = true;
    } else if (Next == '{' || Next == '[') {
      Most = std::max(Most, ++Open);
    } else if (Next == '}' || Next == ']') {
      --Open;
    }
  }
  return Most;
}

} // namespace

Result<Json> parseJson(std::string_view Text) {
  // A callback of the parser would check the depth too, but is called for each
  // value and adds a fifth to the time.
  if (nestingDepth(Text) > MaxJsonDepth)
    return fail(ErrorCode::InvalidArgument, "JSON is nested too deeply");
  Json Value = Json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (Value.is_discarded())
    return fail(ErrorCode::InvalidArgument, "text is not valid JSON");
  return Value;
}

std::string dumpJson(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::uint64_t numberAt(const Json &Object, const char *Key,
                       std::uint64_t Default) {
  if (!Object.is_object())
    return Default;
  auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return Default;
  return Found->get<std::uint64_t>();
}

std::string textAt(const Json &Object, const char *Key) {
  if (!Object.is_object())
    return {};
  auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_string())
    return {};
  return Found->get<std::string>();
}

bool boolAt(const Json &Object, const char *Key, bool Default) {
  if (!Object.is_object())
    return Default;
  auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_boolean())
    return Default;
  return Found->get<bool>();
}

} // namespace amaranthward
