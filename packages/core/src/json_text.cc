#include "siskindrum/core/json_text.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "siskindrum/core/text.h"

namespace siskindrum::core {

namespace {

using Json = nlohmann::json;

void MakeUtf8(Json& value);

void MakeNamesUtf8(Json& object) {
  Json renamed = Json::object();
  for (auto it = object.begin(); it != object.end();) {
    if (IsUtf8(it.key())) {
      ++it;
    } else {
      renamed[ToUtf8(it.key())] = std::move(it.value());
      it = object.erase(it);
    }
  }
  object.update(renamed);
}

void MakeUtf8(Json& value) {
  if (value.is_string()) {
    auto& text = value.get_ref<std::string&>();
    if (!IsUtf8(text)) {
      text = ToUtf8(text);
    }
    return;
  }
  if (!value.is_structured()) {
    return;
  }
  for (Json& element : value) {
    MakeUtf8(element);
  }
  if (value.is_object()) {
    MakeNamesUtf8(value);
  }
}

}  // namespace

std::string ToJsonText(Json value, int indent) {
  MakeUtf8(value);
  return value.dump(indent, ' ', false, Json::error_handler_t::replace);
}

}  // namespace siskindrum::core
