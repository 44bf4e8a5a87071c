#include "tables.hpp"

#include <algorithm> // max

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h> // format

namespace acp {

namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;

std::string FormatTime(std::int64_t millis)
{
  const Poco::Timestamp time(millis * kMicrosPerMilli);
  return Poco::DateTimeFormatter::format(time, "%Y-%m-%dT%H:%M:%S.%iZ");
}

bool EndsWith(const std::string& text, const std::string& end)
{
  return text.size() >= end.size() && text.substr(text.size() - end.size()) == end;
}

/// Returns whether @p field holds a point in time; other fields ending in `_ms` hold a duration.
bool IsTimestamp(const std::string& field)
{
  return EndsWith(field, "time_ms") || EndsWith(field, "at_ms");
}

} // namespace

Poco::JSON::Object::Ptr ParseObject(const std::string& text)
{
  Poco::JSON::Parser parser;
  return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

std::string FieldText(const Poco::JSON::Object::Ptr& object, const std::string& field)
{
  if (!object->has(field)) {
    return "-";
  }
  if (const auto list = object->getArray(field)) {
    std::string text;
    for (unsigned int i = 0; i < list->size(); ++i) {
      text += text.empty() ? "" : ",";
      text += list->getElement<std::string>(i);
    }
    return text.empty() ? "-" : text;
  }
  const auto value = object->get(field);
  if (value.isBoolean()) {
    return value.convert<bool>() ? "yes" : "no";
  }
  if (IsTimestamp(field)) {
    return FormatTime(value.convert<Poco::Int64>());
  }
  const auto text = value.convert<std::string>();
  return text.empty() ? "-" : text;
}

std::string FormatTable(const std::vector<Column>& columns, const Poco::JSON::Array::Ptr& rows)
{
  std::vector<std::vector<std::string>> lines(1);
  for (const auto& column : columns) {
    lines.front().push_back(column.heading);
  }
  for (unsigned int i = 0; i < rows->size(); ++i) {
    auto& line = lines.emplace_back();
    for (const auto& column : columns) {
      line.push_back(FieldText(rows->getObject(i), column.field));
    }
  }
  std::vector<std::size_t> widths(columns.size());
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  std::string text;
  for (const auto& line : lines) {
    for (std::size_t i = 0; i + 1 < line.size(); ++i) {
      text += fmt::format("{:<{}}  ", line[i], widths[i]);
    }
    text += line.back();
    text += '\n';
  }
  return text;
}

std::string FormatObject(const std::vector<Column>& columns, const Poco::JSON::Object::Ptr& object)
{
  std::string text;
  for (const auto& column : columns) {
    text += fmt::format("{}: {}\n", column.heading, FieldText(object, column.field));
  }
  return text;
}

} // namespace acp
