#include "acaciapulley/core/json_reader.hpp"

#include <cmath>   // isfinite
#include <utility> // move

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h> // format

namespace acp {

struct JsonReader::Node
{
  Poco::JSON::Object::Ptr object;
};

namespace {

Poco::Dynamic::Var Required(const Poco::JSON::Object::Ptr& object,
                            const std::string& field,
                            const std::string& place)
{
  if (!object->has(field)) {
    throw JsonPlaceError(place, "is missing");
  }
  return object->get(field);
}

} // namespace

JsonPlaceError::JsonPlaceError(const std::string& place, const std::string& problem)
  : std::runtime_error(place.empty() ? "document: " + problem : place + ": " + problem)
{
}

JsonReader::JsonReader(std::shared_ptr<Node> node, std::string place)
  : node_(std::move(node))
  , place_(std::move(place))
{
}

JsonReader JsonReader::FromText(std::string_view text)
{
  try {
    Poco::JSON::Parser parser;
    const auto parsed = parser.parse(std::string(text));
    if (parsed.type() != typeid(Poco::JSON::Object::Ptr)) {
      throw JsonPlaceError("", "is not a JSON object");
    }
    auto node = std::make_shared<Node>(Node{ parsed.extract<Poco::JSON::Object::Ptr>() });
    return JsonReader(std::move(node), "");
  } catch (const Poco::Exception& e) {
    throw JsonPlaceError("", "is not valid JSON: " + e.displayText());
  }
}

std::string JsonReader::PlaceOf(const std::string& field) const
{
  return place_.empty() ? field : place_ + "." + field;
}

bool JsonReader::Has(const std::string& field)
{
  asked_.insert(field);
  return node_->object->has(field);
}

std::string JsonReader::String(const std::string& field)
{
  asked_.insert(field);
  const auto value = Required(node_->object, field, PlaceOf(field));
  if (!value.isString()) {
    throw JsonPlaceError(PlaceOf(field), "is not a string");
  }
  return value.convert<std::string>();
}

std::int64_t JsonReader::Integer(const std::string& field,
                                 std::int64_t lowest,
                                 std::int64_t highest)
{
  asked_.insert(field);
  const auto value = Required(node_->object, field, PlaceOf(field));
  if (!value.isInteger()) {
    throw JsonPlaceError(PlaceOf(field), "is not a whole number");
  }
  std::int64_t number = 0;
  try {
    number = value.convert<Poco::Int64>();
  } catch (const Poco::Exception&) {
    throw JsonPlaceError(PlaceOf(field), "is too large");
  }
  if (number < lowest || number > highest) {
    throw JsonPlaceError(PlaceOf(field),
                         fmt::format("is {}, allowed is {} to {}", number, lowest, highest));
  }
  return number;
}

double JsonReader::Number(const std::string& field, double lowest, double highest)
{
  asked_.insert(field);
  const auto value = Required(node_->object, field, PlaceOf(field));
  if (!value.isNumeric() || value.isBoolean()) {
    throw JsonPlaceError(PlaceOf(field), "is not a number");
  }
  const auto number = value.convert<double>();
  if (!std::isfinite(number) || number < lowest || number > highest) {
    throw JsonPlaceError(PlaceOf(field),
                         fmt::format("is {}, allowed is {} to {}", number, lowest, highest));
  }
  return number;
}

bool JsonReader::Boolean(const std::string& field)
{
  asked_.insert(field);
  const auto value = Required(node_->object, field, PlaceOf(field));
  if (!value.isBoolean()) {
    throw JsonPlaceError(PlaceOf(field), "is neither true nor false");
  }
  return value.convert<bool>();
}

std::vector<std::string> JsonReader::Strings(const std::string& field)
{
  asked_.insert(field);
  Required(node_->object, field, PlaceOf(field));
  const auto array = node_->object->getArray(field);
  if (array.isNull()) {
    throw JsonPlaceError(PlaceOf(field), "is not a list");
  }
  std::vector<std::string> texts;
  for (unsigned int i = 0; i < array->size(); ++i) {
    const auto value = array->get(i);
    if (!value.isString()) {
      throw JsonPlaceError(fmt::format("{}[{}]", PlaceOf(field), i), "is not a string");
    }
    texts.push_back(value.convert<std::string>());
  }
  return texts;
}

std::vector<JsonReader> JsonReader::Objects(const std::string& field)
{
  asked_.insert(field);
  Required(node_->object, field, PlaceOf(field));
  const auto array = node_->object->getArray(field);
  if (array.isNull()) {
    throw JsonPlaceError(PlaceOf(field), "is not a list");
  }
  std::vector<JsonReader> readers;
  for (unsigned int i = 0; i < array->size(); ++i) {
    const std::string place = fmt::format("{}[{}]", PlaceOf(field), i);
    const auto object = array->getObject(i);
    if (object.isNull()) {
      throw JsonPlaceError(place, "is not an object");
    }
    readers.push_back(JsonReader(std::make_shared<Node>(Node{ object }), place));
  }
  return readers;
}

void JsonReader::RejectUnknownFields() const
{
  for (const auto& name : node_->object->getNames()) {
    if (!asked_.contains(name)) {
      throw JsonPlaceError(PlaceOf(name), "is not a known field");
    }
  }
}

} // namespace acp
