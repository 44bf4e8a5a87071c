#include "acaciapulley/transport/settings.hpp"

#include <cctype>    // toupper
#include <charconv>  // from_chars
#include <cstdlib>   // exit, getenv
#include <stdexcept> // logic_error
#include <utility>   // move

#include <cxxopts.hpp>  // Options
#include <fmt/format.h> // format, print

namespace acp {

namespace {

constexpr int kExitUsage = 2;

std::string EnvironmentName(const std::string& flag)
{
  std::string name = "ACP_";
  for (const char c : flag) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

std::vector<std::string> SplitCommas(const std::string& text)
{
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

std::int64_t ToInteger(const std::string& text, bool* valid)
{
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  *valid = error == std::errc() && rest == end && !text.empty();
  return number;
}

} // namespace

Settings::Settings(std::string program, std::string version, std::string summary)
  : program_(std::move(program))
  , version_(std::move(version))
  , summary_(std::move(summary))
{
}

void Settings::Add(Setting setting)
{
  settings_.push_back(std::move(setting));
}

void Settings::AddText(const std::string& name,
                       const std::string& help,
                       const std::string& defaultValue)
{
  Add({ .name = name, .help = help, .value = defaultValue, .kind = Kind::Text });
}

void Settings::AddInteger(const std::string& name,
                          const std::string& help,
                          std::int64_t defaultValue,
                          std::int64_t minValue,
                          std::int64_t maxValue)
{
  Add({ .name = name,
        .help = fmt::format("{} ({} to {})", help, minValue, maxValue),
        .value = std::to_string(defaultValue),
        .kind = Kind::Integer,
        .minValue = minValue,
        .maxValue = maxValue });
}

void Settings::AddAddress(const std::string& name,
                          const std::string& help,
                          const std::string& defaultValue)
{
  Add({ .name = name, .help = help, .value = defaultValue, .kind = Kind::Address });
}

void Settings::AddAddresses(const std::string& name,
                            const std::string& help,
                            const std::string& defaultValue)
{
  Add({ .name = name, .help = help, .value = defaultValue, .kind = Kind::Addresses });
}

void Settings::AddSwitch(const std::string& name, const std::string& help)
{
  Add({ .name = name, .help = help, .value = "false", .kind = Kind::Switch });
}

void Settings::AllowArguments(const std::string& help)
{
  argumentsHelp_ = help;
}

TransportResult<void> Settings::Validate(const Setting& setting)
{
  const std::string where = fmt::format("--{} ({})", setting.name, EnvironmentName(setting.name));
  if (setting.value == kRequired) {
    return Fail(TransportErrorCode::InvalidSetting, where + " is required and was not given");
  }
  if (setting.kind == Kind::Integer) {
    bool valid = false;
    const auto number = ToInteger(setting.value, &valid);
    if (!valid || number < setting.minValue || number > setting.maxValue) {
      return Fail(TransportErrorCode::InvalidSetting,
                  fmt::format("{} is '{}', allowed is a whole number from {} to {}",
                              where,
                              setting.value,
                              setting.minValue,
                              setting.maxValue));
    }
  }
  if (setting.kind == Kind::Switch && setting.value != "true" && setting.value != "false") {
    return Fail(TransportErrorCode::InvalidSetting,
                fmt::format("{} is '{}', allowed is true or false", where, setting.value));
  }
  std::vector<std::string> addresses;
  if (setting.kind == Kind::Addresses) {
    addresses = SplitCommas(setting.value);
  } else if (setting.kind == Kind::Address && !setting.value.empty()) {
    addresses = { setting.value };
  }
  for (const auto& text : addresses) {
    const auto address = Address::Parse(text);
    if (!address) {
      return Fail(
        TransportErrorCode::InvalidSetting,
        fmt::format("{} is '{}', allowed is ip:port with a port from 0 to 65535", where, text));
    }
  }
  return boost::outcome_v2::success();
}

TransportResult<void> Settings::Parse(int argc, const char* const* argv)
{
  cxxopts::Options options(program_, summary_);
  auto add = options.add_options();
  add("help", "");
  add("version", "");
  add("arguments", "", cxxopts::value<std::vector<std::string>>());
  for (const auto& setting : settings_) {
    if (setting.kind == Kind::Switch) {
      add(setting.name, setting.help);
    } else {
      add(setting.name, setting.help, cxxopts::value<std::string>());
    }
  }
  options.parse_positional({ "arguments" });
  try {
    const auto parsed = options.parse(argc, argv);
    helpRequested_ = parsed.count("help") > 0;
    versionRequested_ = parsed.count("version") > 0;
    if (parsed.count("arguments") > 0) {
      arguments_ = parsed["arguments"].as<std::vector<std::string>>();
    }
    for (auto& setting : settings_) {
      const char* environment = std::getenv(EnvironmentName(setting.name).c_str());
      if (parsed.count(setting.name) > 0) {
        setting.value =
          setting.kind == Kind::Switch ? "true" : parsed[setting.name].as<std::string>();
      } else if (environment != nullptr) {
        setting.value = environment;
      }
    }
  } catch (const cxxopts::exceptions::exception& e) {
    return Fail(TransportErrorCode::InvalidSetting, e.what());
  }
  if (helpRequested_ || versionRequested_) {
    return boost::outcome_v2::success();
  }
  if (!arguments_.empty() && argumentsHelp_.empty()) {
    return Fail(TransportErrorCode::InvalidSetting, "unexpected argument '" + arguments_[0] + "'");
  }
  for (const auto& setting : settings_) {
    auto checked = Validate(setting);
    if (!checked) {
      return checked;
    }
  }
  return boost::outcome_v2::success();
}

void Settings::ParseOrExit(int argc, const char* const* argv)
{
  const auto parsed = Parse(argc, argv);
  if (!parsed) {
    fmt::print(stderr, "{}: {}\n", program_, parsed.error().Describe());
    std::exit(kExitUsage);
  }
  if (helpRequested_) {
    fmt::print("{}", Help());
    std::exit(0);
  }
  if (versionRequested_) {
    fmt::print("{} {}\n", program_, version_);
    std::exit(0);
  }
}

std::string Settings::Help() const
{
  std::string text = fmt::format("{} {}\n{}\n\n", program_, version_, summary_);
  if (!argumentsHelp_.empty()) {
    text += argumentsHelp_ + "\n\n";
  }
  text += "Each flag can also be given as an environment variable; the flag takes precedence.\n\n";
  for (const auto& setting : settings_) {
    const std::string defaultText =
      setting.value == kRequired ? "required" : fmt::format("default '{}'", setting.value);
    text += fmt::format("  --{:<22} {:<28} {}; {}\n",
                        setting.name,
                        EnvironmentName(setting.name),
                        setting.help,
                        defaultText);
  }
  text += "  --help                                              print this text and exit\n";
  text += "  --version                                           print the version and exit\n";
  return text;
}

const Settings::Setting& Settings::Find(const std::string& name) const
{
  for (const auto& setting : settings_) {
    if (setting.name == name) {
      return setting;
    }
  }
  throw std::logic_error("undeclared setting " + name);
}

const std::string& Settings::GetText(const std::string& name) const
{
  return Find(name).value;
}

std::int64_t Settings::GetInteger(const std::string& name) const
{
  bool valid = false;
  return ToInteger(Find(name).value, &valid);
}

Address Settings::GetAddress(const std::string& name) const
{
  const auto address = Address::Parse(Find(name).value);
  return address ? address.value() : Address{};
}

std::vector<Address> Settings::GetAddresses(const std::string& name) const
{
  std::vector<Address> addresses;
  for (const auto& text : SplitCommas(Find(name).value)) {
    addresses.push_back(Address::Parse(text).value());
  }
  return addresses;
}

bool Settings::GetSwitch(const std::string& name) const
{
  return Find(name).value == "true";
}

} // namespace acp
