#include "acaciapulley/core/json_reader.hpp"

#include <cmath>   // isfinite
#include <limits>  // numeric_limits
#include <utility> // move

#include <fmt/format.h> // format
#include <nlohmann/json.hpp>

#include "acaciapulley/core/json_check.hpp" // FindJsonProblem

namespace acp {

/// An object of a parsed document.
struct JsonReader::Node
{
  std::shared_ptr<const nlohmann::json> document; ///< keeps the object alive
  const nlohmann::json* object;
};

namespace {

using nlohmann::json;

const json& RequiredField(const json& object, const std::string& field, const std::string& path)
{
  const auto found = object.find(field);
  if (found == object.end()) {
    throw JsonFieldError(path, "is missing");
  }
  return *found;
}

const json& RequiredList(const json& object, const std::string& field, const std::string& path)
{
  const json& list = RequiredField(object, field, path);
  if (!list.is_array()) {
    throw JsonFieldError(path, "is not a list");
  }
  return list;
}

} // namespace

JsonFieldError::JsonFieldError(const std::string& path, const std::string& problem)
  : std::runtime_error(path.empty() ? "document: " + problem : path + ": " + problem)
{
}

JsonReader::JsonReader(Node node, std::string path)
  : node_(std::make_shared<Node>(std::move(node)))
  , path_(std::move(path))
{
}

JsonReader JsonReader::FromText(std::string_view text)
{
  if (const auto problem = FindJsonProblem(text)) {
    throw JsonFieldError("", *problem);
  }
  try {
    auto document = std::make_shared<const json>(json::parse(text));
    if (!document->is_object()) {
      throw JsonFieldError("", "is not a JSON object");
    }
    const json* object = document.get();
    return JsonReader(Node{ std::move(document), object }, "");
  } catch (const json::parse_error& e) {
    // The library's message quotes the text, which may hold keys of client accounts.
    throw JsonFieldError("", fmt::format("is not valid JSON at byte {}", e.byte));
  }
}

std::string JsonReader::PathOf(const std::string& field) const
{
  return path_.empty() ? field : path_ + "." + field;
}

bool JsonReader::Has(const std::string& field)
{
  readFields_.insert(field);
  return node_->object->contains(field);
}

std::string JsonReader::String(const std::string& field)
{
  readFields_.insert(field);
  const json& value = RequiredField(*node_->object, field, PathOf(field));
  if (!value.is_string()) {
    throw JsonFieldError(PathOf(field), "is not a string");
  }
  return value.get<std::string>();
}

std::int64_t JsonReader::Integer(const std::string& field, std::int64_t min, std::int64_t max)
{
  readFields_.insert(field);
  const json& value = RequiredField(*node_->object, field, PathOf(field));
  if (!value.is_number_integer()) {
    throw JsonFieldError(PathOf(field), "is not a whole number");
  }
  const bool isTooLarge = value.is_number_unsigned() &&
                          value.get<std::uint64_t>() >
                            static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (isTooLarge) {
    throw JsonFieldError(PathOf(field), "is too large");
  }
  const auto number = value.get<std::int64_t>();
  if (number < min || number > max) {
    throw JsonFieldError(PathOf(field),
                         fmt::format("is {}, allowed is {} to {}", number, min, max));
  }
  return number;
}

double JsonReader::Number(const std::string& field, double min, double max)
{
  readFields_.insert(field);
  const json& value = RequiredField(*node_->object, field, PathOf(field));
  if (!value.is_number()) {
    throw JsonFieldError(PathOf(field), "is not a number");
  }
  const auto number = value.get<double>();
  if (!std::isfinite(number) || number < min || number > max) {
    throw JsonFieldError(PathOf(field),
                         fmt::format("is {}, allowed is {} to {}", number, min, max));
  }
  return number;
}

bool JsonReader::Boolean(const std::string& field)
{
  readFields_.insert(field);
  const json& value = RequiredField(*node_->object, field, PathOf(field));
  if (!value.is_boolean()) {
    throw JsonFieldError(PathOf(field), "is neither true nor false");
  }
  return value.get<bool>();
}

std::vector<std::string> JsonReader::Strings(const std::string& field)
{
  readFields_.insert(field);
  std::vector<std::string> texts;
  for (const json& value : RequiredList(*node_->object, field, PathOf(field))) {
    if (!value.is_string()) {
      throw JsonFieldError(fmt::format("{}[{}]", PathOf(field), texts.size()), "is not a string");
    }
    texts.push_back(value.get<std::string>());
  }
  return texts;
}

std::vector<JsonReader> JsonReader::Objects(const std::string& field)
{
  readFields_.insert(field);
  std::vector<JsonReader> readers;
  for (const json& value : RequiredList(*node_->object, field, PathOf(field))) {
    std::string path = fmt::format("{}[{}]", PathOf(field), readers.size());
    if (!value.is_object()) {
      throw JsonFieldError(path, "is not an object");
    }
    readers.push_back(JsonReader(Node{ node_->document, &value }, std::move(path)));
  }
  return readers;
}

void JsonReader::RejectUnknownFields() const
{
  for (const auto& [name, value] : node_->object->items()) {
    if (!readFields_.contains(name)) {
      throw JsonFieldError(PathOf(name), "is not a known field");
    }
  }
}

} // namespace acp
