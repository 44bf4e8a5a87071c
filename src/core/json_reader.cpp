#include "acaciapulley/core/json_reader.hpp"

#include <cmath>   // isfinite
#include <utility> // move

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h> // format

#include "acaciapulley/core/json_check.hpp" // FindJsonProblem

namespace acp {

struct JsonReader::Node
{
  Poco::JSON::Object::Ptr object;
};

namespace {

Poco::Dynamic::Var RequiredField(const Poco::JSON::Object::Ptr& object,
                                 const std::string& field,
                                 const std::string& path)
{
  if (!object->has(field)) {
    throw JsonFieldError(path, "is missing");
  }
  return object->get(field);
}

} // namespace

JsonFieldError::JsonFieldError(const std::string& path, const std::string& problem)
  : std::runtime_error(path.empty() ? "document: " + problem : path + ": " + problem)
{
}

JsonReader::JsonReader(std::shared_ptr<Node> node, std::string path)
  : node_(std::move(node))
  , path_(std::move(path))
{
}

JsonReader JsonReader::FromText(std::string_view text)
{
  if (const auto problem = FindJsonProblem(text)) {
    throw JsonFieldError("", *problem);
  }
  try {
    Poco::JSON::Parser parser;
    const auto parsed = parser.parse(std::string(text));
    if (parsed.type() != typeid(Poco::JSON::Object::Ptr)) {
      throw JsonFieldError("", "is not a JSON object");
    }
    auto node = std::make_shared<Node>(Node{ parsed.extract<Poco::JSON::Object::Ptr>() });
    return JsonReader(std::move(node), "");
  } catch (const Poco::Exception& e) {
    throw JsonFieldError("", "is not valid JSON: " + e.displayText());
  }
}

std::string JsonReader::PathOf(const std::string& field) const
{
  return path_.empty() ? field : path_ + "." + field;
}

bool JsonReader::Has(const std::string& field)
{
  readFields_.insert(field);
  return node_->object->has(field);
}

std::string JsonReader::String(const std::string& field)
{
  readFields_.insert(field);
  const auto value = RequiredField(node_->object, field, PathOf(field));
  if (!value.isString()) {
    throw JsonFieldError(PathOf(field), "is not a string");
  }
  return value.convert<std::string>();
}

std::int64_t JsonReader::Integer(const std::string& field, std::int64_t min, std::int64_t max)
{
  readFields_.insert(field);
  const auto value = RequiredField(node_->object, field, PathOf(field));
  if (!value.isInteger()) {
    throw JsonFieldError(PathOf(field), "is not a whole number");
  }
  std::int64_t number = 0;
  try {
    number = value.convert<Poco::Int64>();
  } catch (const Poco::Exception&) {
    throw JsonFieldError(PathOf(field), "is too large");
  }
  if (number < min || number > max) {
    throw JsonFieldError(PathOf(field),
                         fmt::format("is {}, allowed is {} to {}", number, min, max));
  }
  return number;
}

double JsonReader::Number(const std::string& field, double min, double max)
{
  readFields_.insert(field);
  const auto value = RequiredField(node_->object, field, PathOf(field));
  if (!value.isNumeric() || value.isBoolean()) {
    throw JsonFieldError(PathOf(field), "is not a number");
  }
  const auto number = value.convert<double>();
  if (!std::isfinite(number) || number < min || number > max) {
    throw JsonFieldError(PathOf(field),
                         fmt::format("is {}, allowed is {} to {}", number, min, max));
  }
  return number;
}

bool JsonReader::Boolean(const std::string& field)
{
  readFields_.insert(field);
  const auto value = RequiredField(node_->object, field, PathOf(field));
  if (!value.isBoolean()) {
    throw JsonFieldError(PathOf(field), "is neither true nor false");
  }
  return value.convert<bool>();
}

std::vector<std::string> JsonReader::Strings(const std::string& field)
{
  readFields_.insert(field);
  RequiredField(node_->object, field, PathOf(field));
  const auto array = node_->object->getArray(field);
  if (array.isNull()) {
    throw JsonFieldError(PathOf(field), "is not a list");
  }
  std::vector<std::string> texts;
  for (unsigned int i = 0; i < array->size(); ++i) {
    const auto value = array->get(i);
    if (!value.isString()) {
      throw JsonFieldError(fmt::format("{}[{}]", PathOf(field), i), "is not a string");
    }
    texts.push_back(value.convert<std::string>());
  }
  return texts;
}

std::vector<JsonReader> JsonReader::Objects(const std::string& field)
{
  readFields_.insert(field);
  RequiredField(node_->object, field, PathOf(field));
  const auto array = node_->object->getArray(field);
  if (array.isNull()) {
    throw JsonFieldError(PathOf(field), "is not a list");
  }
  std::vector<JsonReader> readers;
  for (unsigned int i = 0; i < array->size(); ++i) {
    const std::string path = fmt::format("{}[{}]", PathOf(field), i);
    const auto object = array->getObject(i);
    if (object.isNull()) {
      throw JsonFieldError(path, "is not an object");
    }
    readers.push_back(JsonReader(std::make_shared<Node>(Node{ object }), path));
  }
  return readers;
}

void JsonReader::RejectUnknownFields() const
{
  for (const auto& name : node_->object->getNames()) {
    if (!readFields_.contains(name)) {
      throw JsonFieldError(PathOf(name), "is not a known field");
    }
  }
}

} // namespace acp
