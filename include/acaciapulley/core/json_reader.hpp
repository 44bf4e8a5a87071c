#pragma once

/// @file
/// Strict reading of JSON documents: every unknown field, wrong type and out-of-range number is an
/// error that names its place, such as `classes[0].priority`.

#include <cstdint>     // int64_t
#include <memory>      // shared_ptr
#include <optional>    // optional
#include <set>         // set
#include <stdexcept>   // runtime_error
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace acp {

/// Raised inside a reader and converted by the module that reads; never leaves that module.
class JsonPlaceError : public std::runtime_error
{
public:
  /// @param place path of the offending value, such as `classes[0].priority`
  /// @param problem what is wrong there, in a few words
  JsonPlaceError(const std::string& place, const std::string& problem);
};

/// One JSON object that is being read; remembers which fields were asked for.
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
  /// @throw JsonPlaceError when @p text is not a JSON object
  static JsonReader FromText(std::string_view text);

  /// @brief Returns the place of this object, empty for the document itself.
  [[nodiscard]] const std::string& Place() const { return place_; }

  /// @brief Returns whether @p field is present.
  [[nodiscard]] bool Has(const std::string& field);

  /// @brief Returns a required string.
  /// @throw JsonPlaceError when it is absent or not a string
  [[nodiscard]] std::string String(const std::string& field);

  /// @brief Returns a required whole number within [@p lowest, @p highest].
  /// @throw JsonPlaceError when it is absent, not a whole number or out of range
  [[nodiscard]] std::int64_t Integer(const std::string& field,
                                     std::int64_t lowest,
                                     std::int64_t highest);

  /// @brief Returns a required number within [@p lowest, @p highest].
  /// @throw JsonPlaceError when it is absent, not a number or out of range
  [[nodiscard]] double Number(const std::string& field, double lowest, double highest);

  /// @brief Returns a required truth value.
  /// @throw JsonPlaceError when it is absent or neither true nor false
  [[nodiscard]] bool Boolean(const std::string& field);

  /// @brief Returns a required list of strings.
  /// @throw JsonPlaceError when it is absent or holds anything else
  [[nodiscard]] std::vector<std::string> Strings(const std::string& field);

  /// @brief Returns readers for a required list of objects.
  /// @throw JsonPlaceError when it is absent or holds anything else
  [[nodiscard]] std::vector<JsonReader> Objects(const std::string& field);

  /// @brief Refuses fields that were never asked for.
  /// @throw JsonPlaceError naming the first unknown field
  void RejectUnknownFields() const;

  /// @brief Returns the place of @p field inside this object.
  [[nodiscard]] std::string PlaceOf(const std::string& field) const;

private:
  struct Node;
  explicit JsonReader(std::shared_ptr<Node> node, std::string place);

  std::shared_ptr<Node> node_;
  std::string place_;
  std::set<std::string> asked_;
};

} // namespace acp
