#pragma once

/// @file
/// Formats responses of control as human-readable text.

#include <string> // string
#include <vector> // vector

#include <Poco/JSON/Object.h>

namespace acp {

/// A column: its heading and the field that it shows.
struct Column
{
  std::string heading;
  std::string field;
};

/// @brief Parses the JSON object @p text.
/// @throw Poco::Exception when @p text is not a JSON object
[[nodiscard]] Poco::JSON::Object::Ptr ParseObject(const std::string& text);

/// @brief Returns the value of @p field as text; lists are comma-separated, times are in UTC.
[[nodiscard]] std::string FieldText(const Poco::JSON::Object::Ptr& object,
                                    const std::string& field);

/// @brief Returns @p rows as a table with a heading; each column as wide as its widest value.
[[nodiscard]] std::string FormatTable(const std::vector<Column>& columns,
                                      const Poco::JSON::Array::Ptr& rows);

/// @brief Returns one line `heading: value` for each column of one object.
[[nodiscard]] std::string FormatObject(const std::vector<Column>& columns,
                                       const Poco::JSON::Object::Ptr& object);

} // namespace acp
