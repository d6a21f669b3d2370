#include "libnet/httpmessage.h"
#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <algorithm>
#include <strings.h>

namespace amaranthward {

namespace {

bool sameName(const std::string &Left, const std::string &Right) {
  return Left.size() == Right.size() &&
         ::strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace

void HttpHeaders::add(std::string Name, std::string Value) {
  this->Fields.emplace_back(std::move(Name), std::move(Value));
}

void HttpHeaders::set(const std::string &Name, std::string Value) {
  this->remove(Name);
  this->add(Name, std::move(Value));
}

void HttpHeaders::remove(const std::string &Name) {
  std::erase_if(this->Fields, [&Name](const Field &One) {
    return sameName(One.first, Name);
  });
}

bool HttpHeaders::has(const std::string &Name) const {
  return std::any_of(
      this->Fields.begin(), this->Fields.end(),
      [&Name](const Field &One) { return sameName(One.first, Name); });
}

std::string HttpHeaders::get(const std::string &Name) const {
  for (const Field &One : this->Fields)
    if (sameName(One.first, Name))
      return One.second;
  return "";
}

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find_first_of("?#"));
}

std::string queryValue(const std::string &Target, const std::string &Name) {
  try {
    Poco::URI Uri(Target);
    for (const auto &[Key, Value] : Uri.getQueryParameters())
      if (Key == Name)
        return Value;
  } catch (const Poco::Exception &) {
    return "";
  }
  return "";
}

} // namespace amaranthward
