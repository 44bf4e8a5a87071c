#pragma once

/// @file
/// Settings of a program: flags and `ACP_...` environment variables, validated at start.

#include <cstdint> // int64_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/transport/address.hpp" // Address

namespace acp {

/// The settings of one program. Declare them, call ParseOrExit, then read them.
///
/// A flag `--some-name` can also be given as the environment variable `ACP_SOME_NAME`; the flag
/// takes precedence.
///
/// @par Example
/// @code
/// acp::Settings settings("acp-node", ACP_VERSION, "Overload control beside one upstream.");
/// settings.AddAddress("ingress", "where callers connect", "127.0.0.1:8080");
/// settings.ParseOrExit(argc, argv);
/// const acp::Address ingress = settings.GetAddress("ingress");
/// @endcode
class Settings
{
public:
  /// Default value that marks a setting as required.
  static constexpr const char* kRequired = "\x01required";

  Settings(std::string program, std::string version, std::string summary);

  /// @brief Declares a text setting; @p defaultValue may be kRequired.
  void AddText(const std::string& name, const std::string& help, const std::string& defaultValue);

  /// @brief Declares a whole number within [@p minValue, @p maxValue].
  void AddInteger(const std::string& name,
                  const std::string& help,
                  std::int64_t defaultValue,
                  std::int64_t minValue,
                  std::int64_t maxValue);

  /// @brief Declares an `ip:port` setting; @p defaultValue may be kRequired.
  void AddAddress(const std::string& name,
                  const std::string& help,
                  const std::string& defaultValue);

  /// @brief Declares a comma-separated list of `ip:port`; @p defaultValue may be kRequired.
  void AddAddresses(const std::string& name,
                    const std::string& help,
                    const std::string& defaultValue);

  /// @brief Declares a boolean flag that is off by default.
  void AddSwitch(const std::string& name, const std::string& help);

  /// @brief Allows positional arguments.
  void AllowArguments(const std::string& help);

  /// @brief Reads flags and environment; an error names the flag, its value and the allowed range.
  /// @return nothing, or TransportErrorCode::InvalidSetting
  TransportResult<void> Parse(int argc, const char* const* argv);

  /// @brief As Parse; handles `--help` and `--version`, and exits with 2 on an error.
  void ParseOrExit(int argc, const char* const* argv);

  [[nodiscard]] const std::string& GetText(const std::string& name) const;
  [[nodiscard]] std::int64_t GetInteger(const std::string& name) const;
  [[nodiscard]] Address GetAddress(const std::string& name) const;
  [[nodiscard]] std::vector<Address> GetAddresses(const std::string& name) const;
  [[nodiscard]] bool GetSwitch(const std::string& name) const;

  /// @brief Returns the positional arguments.
  [[nodiscard]] const std::vector<std::string>& Arguments() const { return arguments_; }

  /// @brief Returns the text that `--help` prints.
  [[nodiscard]] std::string Help() const;

private:
  enum class Kind
  {
    Text,
    Integer,
    Address,
    Addresses,
    Switch,
  };

  struct Setting
  {
    std::string name;
    std::string help;
    std::string value;
    Kind kind = Kind::Text;
    std::int64_t minValue = 0;
    std::int64_t maxValue = 0;
  };

  void Add(Setting setting);
  [[nodiscard]] const Setting& Find(const std::string& name) const;
  static TransportResult<void> Validate(const Setting& setting);

  std::string program_;
  std::string version_;
  std::string summary_;
  std::string argumentsHelp_;
  std::vector<Setting> settings_;
  std::vector<std::string> arguments_;
  bool helpRequested_ = false;
  bool versionRequested_ = false;
};

} // namespace acp
