#pragma once

/// @file
/// Strict reading of JSON documents: every unknown field, wrong type and out-of-range number is an
/// error that names its path, such as `classes[0].priority`.

#include <cstdint>     // int64_t
#include <memory>      // shared_ptr
#include <optional>    // optional
#include <set>         // set
#include <stdexcept>   // runtime_error
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace acp {

/// Thrown while a document is read. The module that reads the document converts it to its own error
/// and does not let it escape.
class JsonFieldError : public std::runtime_error
{
public:
  /// @param path path of the offending value, such as `classes[0].priority`
  /// @param problem short description of the problem
  JsonFieldError(const std::string& path, const std::string& problem);
};

/// Reader of one JSON object; records which fields have been read.
///
/// @par Example
/// @code
/// auto reader = acp::JsonReader::FromText(text);
/// const std::string name = reader.String("service");
/// reader.RejectUnknownFields();
/// @endcode
class JsonReader
{
public:
  /// @brief Parses @p text, which must hold one JSON object.
  /// @throw JsonFieldError when @p text is not a JSON object
  static JsonReader FromText(std::string_view text);

  /// @brief Returns the path of this object; empty for the root object.
  [[nodiscard]] const std::string& Path() const { return path_; }

  /// @brief Returns whether @p field is present.
  [[nodiscard]] bool Has(const std::string& field);

  /// @brief Returns a required string.
  /// @throw JsonFieldError when it is absent or not a string
  [[nodiscard]] std::string String(const std::string& field);

  /// @brief Returns a required integer within [@p min, @p max].
  /// @throw JsonFieldError when it is absent, not an integer or out of range
  [[nodiscard]] std::int64_t Integer(const std::string& field, std::int64_t min, std::int64_t max);

  /// @brief Returns a required number within [@p min, @p max].
  /// @throw JsonFieldError when it is absent, not a number or out of range
  [[nodiscard]] double Number(const std::string& field, double min, double max);

  /// @brief Returns a required Boolean.
  /// @throw JsonFieldError when it is absent or neither true nor false
  [[nodiscard]] bool Boolean(const std::string& field);

  /// @brief Returns a required array of strings.
  /// @throw JsonFieldError when it is absent or holds anything else
  [[nodiscard]] std::vector<std::string> Strings(const std::string& field);

  /// @brief Returns readers for a required array of objects.
  /// @throw JsonFieldError when it is absent or holds anything else
  [[nodiscard]] std::vector<JsonReader> Objects(const std::string& field);

  /// @brief Rejects fields that have not been read.
  /// @throw JsonFieldError naming the first unknown field
  void RejectUnknownFields() const;

  /// @brief Returns the path of @p field in this object.
  [[nodiscard]] std::string PathOf(const std::string& field) const;

private:
  struct Node;
  JsonReader(Node node, std::string path);

  std::shared_ptr<Node> node_;
  std::string path_;
  std::set<std::string> readFields_;
};

} // namespace acp
