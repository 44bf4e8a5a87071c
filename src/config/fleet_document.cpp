#include "acaciapulley/config/fleet_document.hpp"

#include <algorithm> // any_of, max, transform
#include <cctype>    // tolower
#include <set>       // set
#include <utility>   // move

#include <fmt/format.h> // format

#include "acaciapulley/core/json_reader.hpp" // JsonReader, JsonFieldError

namespace acp {

namespace {

constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
constexpr std::int64_t kMaxBodyBytesLimit = 1'073'741'824;
constexpr std::int64_t kMaxAttempts = 9;
constexpr std::int64_t kMaxConnections = 1'000'000;
constexpr double kMaxWeight = 1e9;
constexpr double kMaxWarmupRate = 100'000;
constexpr double kMaxRate = 1e9;
/// A target this far above the timeout indicates a wrong unit.
constexpr std::int64_t kMaxTargetAboveTimeoutMs = 60'000;
/// Requests that an account without a burst may send at once, as a time at its rate: with none it
/// would never get a token.
constexpr double kLeastBurstSeconds = 0.1;
constexpr std::size_t kKeyHashDigits = 64;
constexpr std::size_t kMaxContextNameBytes = 128; // as in request contexts
constexpr std::size_t kMaxShownBytes = 32;
/// Names of routes and services are sent between nodes as header fields.
constexpr std::size_t kMaxNameBytes = 1'024;
/// Optional, so that nodes which do not know it accept documents with the default.
constexpr const char* kMaxHeadBytesField = "max_head_bytes";
/// Optional; by default keys are required if there are accounts.
constexpr const char* kKeysRequiredField = "keys_required";
/// Optional; without it, or with an empty list, all regions are allowed.
constexpr const char* kAllowedRegionsField = "allowed_regions";

[[noreturn]] void Throw(const std::string& path, const std::string& problem)
{
  throw JsonFieldError(path, problem);
}

std::string LowerHost(std::string_view host)
{
  std::string lower(host.substr(0, host.find(':')));
  std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

std::string HostPrefixKey(std::string_view host, std::string_view prefix)
{
  std::string key(host);
  key += ' ';
  key += prefix;
  return key;
}

std::string ReadText(JsonReader& reader, const std::string& field)
{
  std::string text = reader.String(field);
  if (text.empty()) {
    Throw(reader.PathOf(field), "is empty");
  }
  return text;
}

std::string ReadName(JsonReader& reader)
{
  std::string name = ReadText(reader, "name");
  if (name.size() > kMaxNameBytes) {
    Throw(reader.PathOf("name"), fmt::format("is longer than {} bytes", kMaxNameBytes));
  }
  return name;
}

std::vector<std::string> ReadAllowedRegions(JsonReader& reader)
{
  if (!reader.Has(kAllowedRegionsField)) {
    return {};
  }
  std::vector<std::string> regions = reader.Strings(kAllowedRegionsField);
  if (std::any_of(regions.begin(), regions.end(), [](const auto& r) { return r.empty(); })) {
    Throw(reader.PathOf(kAllowedRegionsField), "has an empty name");
  }
  return regions;
}

std::vector<FleetDestination> ReadDestinations(JsonReader& reader,
                                               const std::set<std::string>& services)
{
  std::vector<FleetDestination> destinations;
  double sum = 0;
  for (auto& entry : reader.Objects("destinations")) {
    FleetDestination destination{ .service = ReadText(entry, "service"),
                                  .weight = entry.Number("weight", 0, kMaxWeight) };
    if (!services.contains(destination.service)) {
      Throw(entry.PathOf("service"), "'" + destination.service + "' is not a known service");
    }
    sum += destination.weight;
    entry.RejectUnknownFields();
    destinations.push_back(std::move(destination));
  }
  if (sum <= 0) {
    Throw(reader.PathOf("destinations"), "no destination has a weight above 0");
  }
  return destinations;
}

FleetRoute ReadRoute(JsonReader& reader,
                     const std::set<std::string>& services,
                     const FleetLimits& limits)
{
  FleetRoute route;
  RequestClass& requestClass = route.requestClass;
  requestClass.name = ReadName(reader);
  route.host = LowerHost(ReadText(reader, "host"));
  route.pathPrefix = ReadText(reader, "path_prefix");
  if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/')) {
    Throw(reader.PathOf("path_prefix"), "must begin and end with /");
  }
  requestClass.idempotent = reader.Boolean("idempotent");
  requestClass.needsClaim = false;
  requestClass.openToAll = reader.Boolean("open");
  requestClass.priority = static_cast<int>(reader.Integer("priority", 0, kLowestPriority));
  const auto timeoutMs = reader.Integer("timeout_ms", 1, kMaxTimeoutMs);
  const auto targetMs = reader.Integer("target_ms", 0, timeoutMs + kMaxTargetAboveTimeoutMs - 1);
  requestClass.deadline = std::chrono::milliseconds(timeoutMs);
  requestClass.targetLatency = std::chrono::milliseconds(targetMs);
  requestClass.maxAttempts = static_cast<int>(reader.Integer("max_attempts", 1, kMaxAttempts));
  requestClass.maxBodyBytes = limits.maxBodyBytes;
  route.destinations = ReadDestinations(reader, services);
  route.allowedRegions = ReadAllowedRegions(reader);
  reader.RejectUnknownFields();
  return route;
}

FleetService ReadService(JsonReader& reader)
{
  FleetService service;
  service.name = ReadName(reader);
  service.healthPath = reader.String("health_path");
  service.maxConnections = static_cast<int>(reader.Integer("max_connections", 1, kMaxConnections));
  if (reader.Has("warmup_ms")) {
    service.warmupTime = std::chrono::milliseconds(reader.Integer("warmup_ms", 0, kMaxTimeoutMs));
  }
  if (reader.Has("warmup_rate")) {
    service.warmupRate = reader.Number("warmup_rate", 0, kMaxWarmupRate);
  }
  if (reader.Has("placement")) {
    service.placement = FromName<Placement>(reader.String("placement"));
    if (!service.placement) {
      Throw(reader.PathOf("placement"), "must be announced or learned");
    }
  }
  reader.RejectUnknownFields();
  return service;
}

/// Names are sent in header fields and in request contexts.
void CheckAccountName(const std::string& path, const std::string& name)
{
  if (name.size() > kMaxContextNameBytes) {
    Throw(path,
          fmt::format("'{}...' has {} bytes, allowed are {}",
                      name.substr(0, kMaxShownBytes),
                      name.size(),
                      kMaxContextNameBytes));
  }
  const auto isControl = [](unsigned char c) { return c < 0x20 || c == 0x7f; };
  if (std::any_of(name.begin(), name.end(), isControl)) {
    Throw(path, "contains a control character");
  }
}

FleetAccount ReadAccount(JsonReader& reader)
{
  FleetAccount account;
  account.name = ReadText(reader, "name");
  CheckAccountName(reader.PathOf("name"), account.name);
  account.keyHashes = reader.Strings("key_hashes");
  for (const auto& hash : account.keyHashes) {
    if (hash.size() != kKeyHashDigits) {
      Throw(reader.PathOf("key_hashes"), "a key hash must have 64 hexadecimal digits");
    }
  }
  if (reader.Has("priority")) {
    account.priority = static_cast<int>(reader.Integer("priority", 0, kLowestPriority));
  }
  account.limit = { .rate = reader.Number("rate", 0, kMaxRate),
                    .burst = reader.Number("burst", 0, kMaxRate) };
  if (account.limit.burst == 0 && account.limit.rate > 0) {
    account.limit.burst = std::max(1.0, account.limit.rate * kLeastBurstSeconds);
  }
  account.allowedRegions = ReadAllowedRegions(reader);
  reader.RejectUnknownFields();
  return account;
}

FleetLimits ReadLimits(JsonReader& reader)
{
  FleetLimits limits;
  if (reader.Has(kMaxHeadBytesField)) {
    limits.maxHeadBytes = reader.Integer(kMaxHeadBytesField, 1, kLargestMaxHeadBytes);
  }
  limits.maxBodyBytes = reader.Integer("max_body_bytes", 0, kMaxBodyBytesLimit);
  limits.headTimeout =
    std::chrono::milliseconds(reader.Integer("head_timeout_ms", 1, kMaxTimeoutMs));
  limits.idleTimeout =
    std::chrono::milliseconds(reader.Integer("idle_timeout_ms", 1, kMaxTimeoutMs));
  return limits;
}

} // namespace

ConfigResult<FleetDocument> FleetDocument::Parse(std::string_view text)
{
  try {
    JsonReader reader = JsonReader::FromText(text);
    FleetDocument fleet;
    fleet.limits_ = ReadLimits(reader);
    std::set<std::string> services;
    for (auto& entry : reader.Objects("services")) {
      fleet.services_.push_back(ReadService(entry));
      if (!services.insert(fleet.services_.back().name).second) {
        Throw(entry.PathOf("name"), "is a duplicate");
      }
    }
    std::set<std::string> names;
    for (auto& entry : reader.Objects("routes")) {
      FleetRoute route = ReadRoute(entry, services, fleet.limits_);
      if (!names.insert(route.requestClass.name).second) {
        Throw(entry.PathOf("name"), "is a duplicate");
      }
      const std::string hostPrefixKey = HostPrefixKey(route.host, route.pathPrefix);
      if (!fleet.routeByHostAndPrefix_.emplace(hostPrefixKey, fleet.routes_.size()).second) {
        Throw(entry.PathOf("path_prefix"), "another route has the same host and prefix");
      }
      fleet.routes_.push_back(std::move(route));
    }
    std::set<std::string> accounts;
    for (auto& entry : reader.Objects("accounts")) {
      FleetAccount account = ReadAccount(entry);
      if (!accounts.insert(account.name).second) {
        Throw(entry.PathOf("name"), "is a duplicate");
      }
      for (const auto& hash : account.keyHashes) {
        const auto [found, isNew] = fleet.accountByKeyHash_.emplace(hash, fleet.accounts_.size());
        if (!isNew) {
          Throw(entry.PathOf("key_hashes"), "duplicate key hash");
        }
      }
      fleet.accounts_.push_back(std::move(account));
    }
    fleet.requiresKeys_ = reader.Has(kKeysRequiredField) ? reader.Boolean(kKeysRequiredField)
                                                         : !fleet.accounts_.empty();
    if (!fleet.requiresKeys_ && !fleet.accounts_.empty()) {
      Throw(kKeysRequiredField, "is false although there are accounts");
    }
    reader.RejectUnknownFields();
    return fleet;
  } catch (const JsonFieldError& e) {
    return Fail(ConfigErrorCode::Malformed, e.what());
  }
}

const FleetRoute* FleetDocument::Match(std::string_view host, std::string_view path) const
{
  const std::string lower = LowerHost(host);
  for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
    const auto found = routeByHostAndPrefix_.find(HostPrefixKey(lower, path.substr(0, end + 1)));
    if (found != routeByHostAndPrefix_.end()) {
      return &routes_[found->second];
    }
    if (end == 0) {
      break;
    }
  }
  return nullptr;
}

const FleetAccount* FleetDocument::FindAccountByKeyHash(const std::string& keyHash) const
{
  const auto found = accountByKeyHash_.find(keyHash);
  return found == accountByKeyHash_.end() ? nullptr : &accounts_[found->second];
}

const FleetService* FleetDocument::FindService(const std::string& name) const
{
  for (const auto& service : services_) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

} // namespace acp
