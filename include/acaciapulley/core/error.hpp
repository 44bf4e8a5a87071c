#pragma once

/// @file
/// Typed errors with stable numbers, and the result type that carries them.
///
/// Each module declares its own `enum class XErrorCode` in its own range of numbers, a NameTable
/// for it, and `using XError = BasicError<XErrorCode>`. A module converts the errors of the modules
/// below it and never passes them through. Ranges: core 1-99, config 100, accounts 200, limits 300,
/// admission 400, retries 500, claims 600, routing 700, replication 800, control 900, record 1000,
/// transport 1100, node 1200.

#include <boost/outcome/result.hpp> // result
#include <string>                   // string, to_string
#include <utility>                  // move

#include "acaciapulley/core/names.hpp" // NameOf

namespace acp {

/// An error with a stable number and a human-readable message.
template<typename Code>
struct BasicError
{
  Code code;
  std::string message;

  /// @brief Returns `[number name] message`, the form used in logs and responses.
  [[nodiscard]] std::string Describe() const
  {
    std::string text = "[";
    text += std::to_string(static_cast<int>(code));
    text += ' ';
    text += NameOf(code);
    text += "] ";
    text += message;
    return text;
  }
};

/// A value or an error of one module.
template<typename T, typename Error>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// @brief Builds a failed result.
/// @par Example
/// @code
/// return acp::Fail(ConfigErrorCode::UnknownField, "classes[0].prority");
/// @endcode
template<typename Code>
auto Fail(Code code, std::string message)
{
  return boost::outcome_v2::failure(BasicError<Code>{ code, std::move(message) });
}

} // namespace acp
