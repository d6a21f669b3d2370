#include "libcore/json.h"

namespace amaranthward {

Result<Json> parseJson(std::string_view Text) {
  bool TooDeep = false;
  auto CheckDepth = [&TooDeep](int Depth, Json::parse_event_t, Json &) {
    TooDeep = TooDeep || Depth > MaxJsonDepth;
    return !TooDeep;
  };
  Json Value = Json::parse(Text, CheckDepth, /*allow_exceptions=*/false);
  if (TooDeep)
    return fail(ErrorCode::InvalidArgument, "JSON is nested too deeply");
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
