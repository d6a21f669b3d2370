#include "libconfig/jsonfields.h"

#include <limits>

namespace amaranthward {

namespace {

// About 285 years; sums of a few such values stay within 64 bits.
constexpr std::uint64_t MaxMicroseconds = 9007199254740992;

const Json &emptyObject() {
  static const Json Empty = Json::object();
  return Empty;
}

} // namespace

JsonFields::JsonFields(const Json &Object) : Object(Object) {
  if (!Object.is_object())
    this->Problem = "value is not a JSON object";
}

const Json &JsonFields::at(const char *Key,
                           bool (Json::*IsType)() const noexcept,
                           const char *Type) {
  if (this->Object.is_object()) {
    auto Found = this->Object.find(Key);
    if (Found != this->Object.end() && ((*Found).*IsType)())
      return *Found;
  }
  if (this->Problem.empty())
    this->Problem = std::string("field \"") + Key + "\" is not " + Type;
  return emptyObject();
}

std::uint64_t JsonFields::number(const char *Key) {
  const Json &Value = this->at(Key, &Json::is_number_integer, "a number");
  if (!Value.is_number_integer())
    return 0;
  // A value that was never serialized may have a signed type.
  if (!Value.is_number_unsigned() && Value.get<std::int64_t>() < 0) {
    if (this->Problem.empty())
      this->Problem = std::string("field \"") + Key + "\" is negative";
    return 0;
  }
  return Value.get<std::uint64_t>();
}

std::uint32_t JsonFields::number32(const char *Key) {
  std::uint64_t Value = this->number(Key);
  if (Value > std::numeric_limits<std::uint32_t>::max()) {
    if (this->Problem.empty())
      this->Problem = std::string("field \"") + Key + "\" is too large";
    return 0;
  }
  return static_cast<std::uint32_t>(Value);
}

double JsonFields::decimal(const char *Key) {
  const Json &Value = this->at(Key, &Json::is_number, "a number");
  double Number = Value.is_number() ? Value.get<double>() : 0;
  if (Number < 0 && this->Problem.empty())
    this->Problem = std::string("field \"") + Key + "\" is negative";
  return Number < 0 ? 0 : Number;
}

std::string JsonFields::text(const char *Key) {
  const Json &Value = this->at(Key, &Json::is_string, "text");
  return Value.is_string() ? Value.get<std::string>() : std::string();
}

std::vector<std::string> JsonFields::texts(const char *Key) {
  std::vector<std::string> All;
  for (const Json &Item : this->array(Key)) {
    if (Item.is_string())
      All.push_back(Item.get<std::string>());
    else if (this->Problem.empty())
      this->Problem = std::string("field \"") + Key + "\" has a non-text item";
  }
  return All;
}

bool JsonFields::boolean(const char *Key) {
  const Json &Value = this->at(Key, &Json::is_boolean, "true or false");
  return Value.is_boolean() && Value.get<bool>();
}

Duration JsonFields::duration(const char *Key) {
  std::uint64_t Value = this->number(Key);
  if (Value > MaxMicroseconds) {
    if (this->Problem.empty())
      this->Problem = std::string("field \"") + Key + "\" is too large";
    return Duration(0);
  }
  return Duration(static_cast<std::int64_t>(Value));
}

Share JsonFields::share(const char *Key) {
  std::uint64_t Value = this->number(Key);
  if (Value > Share::Whole) {
    if (this->Problem.empty())
      this->Problem = std::string("field \"") + Key + "\" exceeds the whole";
    return Share::none();
  }
  return Share(static_cast<std::uint32_t>(Value));
}

const Json &JsonFields::array(const char *Key) {
  return this->at(Key, &Json::is_array, "an array");
}

const Json &JsonFields::object(const char *Key) {
  return this->at(Key, &Json::is_object, "an object");
}

bool JsonFields::has(const char *Key) const {
  return this->Object.is_object() && this->Object.contains(Key);
}

tl::unexpected<Error> JsonFields::failure() const {
  return fail(ErrorCode::InvalidArgument, this->Problem);
}

} // namespace amaranthward
