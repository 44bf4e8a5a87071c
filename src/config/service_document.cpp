#include "acaciapulley/config/service_document.hpp"

#include <algorithm> // find
#include <array>     // array
#include <set>       // set
#include <utility>   // move

#include <fmt/format.h> // format

#include "acaciapulley/config/detail/path_pattern.hpp" // PatternMatches, PatternsOverlap
#include "acaciapulley/core/json_reader.hpp"           // JsonReader, JsonFieldError

namespace acp {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::int64_t kMinDeadlineMs = 1;
constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr std::int64_t kDefaultMaxBodyBytes = 1'048'576;
constexpr std::int64_t kMaxBodyBytesLimit = 1'073'741'824;
constexpr double kMinRatePerSecond = 0.001;
constexpr double kMaxRatePerSecond = 1'000'000;
constexpr double kMinBurst = 1;
constexpr double kMaxBurst = 1'000'000;
constexpr std::array<std::string_view, 7> kMethods = { "GET",    "HEAD",  "POST",   "PUT",
                                                       "DELETE", "PATCH", "OPTIONS" };

/// Exception that carries a typed error from the nested readers to Parse().
struct DocumentError
{
  ConfigError error;
};

[[noreturn]] void Throw(ConfigErrorCode code, const std::string& path, const std::string& problem)
{
  throw DocumentError{ ConfigError{ code, path + ": " + problem } };
}

bool IsName(std::string_view name)
{
  if (name.empty() || name.size() > kMaxNameLength) {
    return false;
  }
  for (const char c : name) {
    const bool isAllowed = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    if (!isAllowed) {
      return false;
    }
  }
  return true;
}

std::string ReadName(JsonReader& reader, const std::string& field)
{
  std::string name = reader.String(field);
  if (!IsName(name)) {
    Throw(ConfigErrorCode::InvalidName,
          reader.PathOf(field),
          fmt::format("'{}' is not 1 to {} characters of a-z, 0-9, - and _", name, kMaxNameLength));
  }
  return name;
}

std::vector<std::string> ReadMethods(JsonReader& reader)
{
  auto methods = reader.Strings("methods");
  if (methods.empty()) {
    Throw(ConfigErrorCode::InvalidPattern, reader.PathOf("methods"), "is empty");
  }
  std::set<std::string> seen;
  for (const auto& method : methods) {
    if (std::find(kMethods.begin(), kMethods.end(), method) == kMethods.end()) {
      Throw(ConfigErrorCode::InvalidPattern,
            reader.PathOf("methods"),
            "'" + method + "' is not a known HTTP method in upper case");
    }
    if (!seen.insert(method).second) {
      Throw(ConfigErrorCode::DuplicateName, reader.PathOf("methods"), method + " is a duplicate");
    }
  }
  return methods;
}

RequestClass ReadClass(JsonReader& reader)
{
  RequestClass requestClass;
  requestClass.name = ReadName(reader, "name");
  requestClass.methods = ReadMethods(reader);
  requestClass.pathPattern = reader.String("path");
  const auto problem = detail::DescribePatternError(requestClass.pathPattern);
  if (!problem.empty()) {
    Throw(ConfigErrorCode::InvalidPattern, reader.PathOf("path"), problem);
  }
  requestClass.priority = static_cast<int>(reader.Integer("priority", 0, kLowestPriority));
  requestClass.idempotent = reader.Boolean("idempotent");
  requestClass.openToAll = reader.Has("open") && reader.Boolean("open");
  const auto deadlineMs = reader.Integer("deadline_ms", kMinDeadlineMs, kMaxDeadlineMs);
  requestClass.deadline = std::chrono::milliseconds(deadlineMs);
  requestClass.maxBodyBytes = reader.Has("max_body_bytes")
                                ? reader.Integer("max_body_bytes", 0, kMaxBodyBytesLimit)
                                : kDefaultMaxBodyBytes;
  if (requestClass.openToAll && !requestClass.idempotent) {
    Throw(
      ConfigErrorCode::Malformed,
      reader.PathOf("open"),
      "a non-idempotent class cannot be open to all, because a claim belongs to a client account");
  }
  reader.RejectUnknownFields();
  return requestClass;
}

bool SharesMethod(const RequestClass& a, const RequestClass& b)
{
  for (const auto& method : a.methods) {
    if (std::find(b.methods.begin(), b.methods.end(), method) != b.methods.end()) {
      return true;
    }
  }
  return false;
}

void CheckAgainstOthers(const RequestClass& added,
                        const std::vector<RequestClass>& others,
                        const std::string& path)
{
  for (const auto& other : others) {
    if (other.name == added.name) {
      Throw(ConfigErrorCode::DuplicateName, path + ".name", "'" + added.name + "' is a duplicate");
    }
    const bool overlaps =
      SharesMethod(added, other) && detail::PatternsOverlap(added.pathPattern, other.pathPattern);
    if (overlaps) {
      Throw(
        ConfigErrorCode::OverlappingPattern,
        path + ".path",
        fmt::format(
          "'{}' overlaps '{}' of class '{}'", added.pathPattern, other.pathPattern, other.name));
    }
  }
}

std::vector<RequestClass> ReadClasses(JsonReader& reader)
{
  std::vector<RequestClass> classes;
  for (auto& classReader : reader.Objects("classes")) {
    RequestClass requestClass = ReadClass(classReader);
    CheckAgainstOthers(requestClass, classes, classReader.Path());
    classes.push_back(std::move(requestClass));
  }
  if (classes.empty()) {
    Throw(ConfigErrorCode::Malformed, reader.PathOf("classes"), "is empty");
  }
  return classes;
}

std::map<std::string, AccountLimit> ReadAccounts(JsonReader& reader)
{
  std::map<std::string, AccountLimit> accounts;
  for (auto& accountReader : reader.Objects("accounts")) {
    const std::string name = ReadName(accountReader, "name");
    AccountLimit limit;
    limit.rate = accountReader.Number("rate", kMinRatePerSecond, kMaxRatePerSecond);
    limit.burst = accountReader.Number("burst", kMinBurst, kMaxBurst);
    accountReader.RejectUnknownFields();
    if (!accounts.emplace(name, limit).second) {
      Throw(ConfigErrorCode::DuplicateName,
            accountReader.PathOf("name"),
            "'" + name + "' is a duplicate");
    }
  }
  return accounts;
}

} // namespace

ConfigResult<ServiceDocument> ServiceDocument::Parse(std::string_view text)
{
  try {
    JsonReader reader = JsonReader::FromText(text);
    ServiceDocument document;
    document.service_ = ReadName(reader, "service");
    document.classes_ = ReadClasses(reader);
    document.accounts_ = ReadAccounts(reader);
    reader.RejectUnknownFields();
    return document;
  } catch (const DocumentError& problem) {
    return boost::outcome_v2::failure(problem.error);
  } catch (const JsonFieldError& e) {
    return Fail(ConfigErrorCode::Malformed, e.what());
  }
}

const RequestClass* ServiceDocument::Match(std::string_view method, std::string_view path) const
{
  for (const auto& requestClass : classes_) {
    const auto& methods = requestClass.methods;
    const bool methodMatches = std::find(methods.begin(), methods.end(), method) != methods.end();
    if (methodMatches && detail::PatternMatches(requestClass.pathPattern, path)) {
      return &requestClass;
    }
  }
  return nullptr;
}

const AccountLimit* ServiceDocument::FindLimit(const std::string& account) const
{
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? nullptr : &found->second;
}

} // namespace acp
