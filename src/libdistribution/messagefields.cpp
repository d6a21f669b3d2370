#include "libdistribution/messagefields.h"

namespace amaranthward {

MessageFields::MessageFields(const Json &Object, const char *ObjectName)
    : Object(Object), ObjectName(ObjectName) {
  if (!Object.is_object())
    this->recordError("is not a JSON object");
}

const Json *MessageFields::find(const char *Key) const {
  if (!this->Object.is_object())
    return nullptr;
  auto Found = this->Object.find(Key);
  return Found == this->Object.end() ? nullptr : &*Found;
}

std::uint64_t MessageFields::number(const char *Key) {
  const Json *Value = this->find(Key);
  if (Value && Value->is_number_unsigned())
    return Value->get<std::uint64_t>();
  this->recordError(std::string("field ") + Key + " is not an unsigned number");
  return 0;
}

std::uint64_t MessageFields::numberOr(const char *Key, std::uint64_t Default) {
  return this->find(Key) ? this->number(Key) : Default;
}

std::string MessageFields::text(const char *Key) {
  const Json *Value = this->find(Key);
  if (Value && Value->is_string())
    return Value->get<std::string>();
  this->recordError(std::string("field ") + Key + " is not a string");
  return {};
}

std::string MessageFields::textOr(const char *Key, const char *Default) {
  return this->find(Key) ? this->text(Key) : std::string(Default);
}

bool MessageFields::flag(const char *Key) {
  const Json *Value = this->find(Key);
  if (!Value)
    return false;
  if (Value->is_boolean())
    return Value->get<bool>();
  if (*Value == Json(1U))
    return true;
  this->recordError(std::string("field ") + Key + " is not a flag");
  return false;
}

const Json *MessageFields::array(const char *Key) {
  const Json *Value = this->find(Key);
  if (Value && !Value->is_array()) {
    this->recordError(std::string("field ") + Key + " is not an array");
    return nullptr;
  }
  return Value;
}

void MessageFields::recordError(const std::string &Message) {
  if (!this->Failure)
    this->Failure = Error{ErrorCode::InvalidArgument,
                          std::string(this->ObjectName) + ": " + Message};
}

} // namespace amaranthward
