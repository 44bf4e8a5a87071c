#include "acaciapulley/config/fleet_check.hpp"

#include <algorithm> // find, none_of
#include <map>       // map
#include <set>       // set
#include <utility>   // move

#include <fmt/format.h> // format
#include <nlohmann/json.hpp>

#include "acaciapulley/config/fleet_document.hpp" // FleetDocument

namespace acp {

namespace {

using nlohmann::json;

/// The lists whose entries have names.
constexpr std::array<const char*, 3> kNamedLists = { "services", "routes", "accounts" };

/// Collects the findings of a valid document. Numbers are read from the text, because the parsed
/// document holds the defaults in place of what was left out.
class Checker
{
public:
  Checker(const FleetDocument& fleet, const json& root)
    : fleet_(fleet)
    , root_(root)
  {
  }

  std::vector<FleetFinding> Run()
  {
    CheckServices();
    CheckRoutes();
    CheckAccounts();
    return std::move(findings_);
  }

private:
  void Warn(std::string path, std::string text)
  {
    findings_.push_back(
      { .severity = FindingSeverity::Warning, .path = std::move(path), .text = std::move(text) });
  }

  void CheckServices()
  {
    std::set<std::string> used;
    for (const FleetRoute& route : fleet_.Routes()) {
      for (const FleetDestination& destination : route.destinations) {
        used.insert(destination.service);
      }
    }
    for (std::size_t i = 0; i < root_["services"].size(); ++i) {
      const json& service = root_["services"][i];
      const auto name = service["name"].get<std::string>();
      if (!used.contains(name)) {
        Warn(fmt::format("services[{}]", i), fmt::format("no route leads to '{}'", name));
      }
      if (service.value("warmup_rate", 0.0) > 0 && service.value("warmup_ms", 0.0) <= 0) {
        Warn(fmt::format("services[{}].warmup_rate", i),
             "has no effect without a warm-up time in warmup_ms");
      }
    }
  }

  void CheckRoutes()
  {
    for (std::size_t i = 0; i < fleet_.Routes().size(); ++i) {
      const FleetRoute& route = fleet_.Routes()[i];
      const RequestClass& requestClass = route.requestClass;
      if (requestClass.targetLatency > requestClass.deadline) {
        Warn(fmt::format("routes[{}].target_ms", i), "is above timeout_ms");
      }
      for (std::size_t j = 0; j < route.destinations.size(); ++j) {
        if (route.destinations[j].weight == 0) {
          Warn(fmt::format("routes[{}].destinations[{}].weight", i, j),
               fmt::format("is 0: '{}' gets no requests", route.destinations[j].service));
        }
      }
    }
  }

  void CheckAccounts()
  {
    for (std::size_t i = 0; i < fleet_.Accounts().size(); ++i) {
      const FleetAccount& account = fleet_.Accounts()[i];
      if (account.keyHashes.empty()) {
        Warn(fmt::format("accounts[{}].key_hashes", i), "is empty: no request has this account");
      }
      CheckLimit(i);
      CheckRegions(i);
    }
  }

  void CheckLimit(std::size_t i)
  {
    const json& account = root_["accounts"][i];
    const std::string path = fmt::format("accounts[{}].burst", i);
    const auto rate = account["rate"].get<double>();
    const auto burst = account["burst"].get<double>();
    if (rate > 0 && burst == 0) {
      Warn(path, fmt::format("is 0 with a rate; {} is used", fleet_.Accounts()[i].limit.burst));
    } else if (rate > 0 && burst < 1) {
      findings_.push_back({ .severity = FindingSeverity::Error,
                            .path = path,
                            .text = "is below one request: every request is refused" });
    } else if (rate == 0 && burst > 0) {
      Warn(path, "has no effect without a rate");
    }
  }

  /// Reports routes with which the account has no region in common.
  void CheckRegions(std::size_t i)
  {
    const auto& own = fleet_.Accounts()[i].allowedRegions;
    for (const FleetRoute& route : fleet_.Routes()) {
      const auto& others = route.allowedRegions;
      const bool appliesBoth = !route.requestClass.openToAll && !own.empty() && !others.empty();
      const auto isCommon = [&others](const std::string& region) {
        return std::find(others.begin(), others.end(), region) != others.end();
      };
      if (appliesBoth && std::none_of(own.begin(), own.end(), isCommon)) {
        Warn(fmt::format("accounts[{}].allowed_regions", i),
             fmt::format("has no region in common with route '{}'", route.requestClass.name));
      }
    }
  }

  const FleetDocument& fleet_;
  const json& root_;
  std::vector<FleetFinding> findings_;
};

/// Returns the names of the fields in which two objects differ.
std::vector<std::string> DifferentFields(const json& before, const json& after)
{
  std::set<std::string> fields;
  for (const auto& [name, value] : before.items()) {
    if (!after.contains(name) || after[name] != value) {
      fields.insert(name);
    }
  }
  for (const auto& [name, value] : after.items()) {
    if (!before.contains(name)) {
      fields.insert(name);
    }
  }
  return { fields.begin(), fields.end() };
}

std::map<std::string, json> EntriesByName(const json& list)
{
  std::map<std::string, json> entries;
  for (const json& entry : list) {
    entries.emplace(entry["name"].get<std::string>(), entry);
  }
  return entries;
}

void CompareLists(const char* list,
                  const json& before,
                  const json& after,
                  std::vector<FleetDifference>& differences)
{
  const auto old = EntriesByName(before);
  const auto current = EntriesByName(after);
  const auto add = [&](DifferenceKind kind, const std::string& name, auto fields) {
    differences.push_back(
      { .kind = kind, .entry = fmt::format("{} '{}'", list, name), .fields = std::move(fields) });
  };
  for (const auto& [name, entry] : old) {
    const auto found = current.find(name);
    if (found == current.end()) {
      add(DifferenceKind::Removed, name, std::vector<std::string>());
    } else if (found->second != entry) {
      add(DifferenceKind::Changed, name, DifferentFields(entry, found->second));
    }
  }
  for (const auto& [name, entry] : current) {
    if (!old.contains(name)) {
      add(DifferenceKind::Added, name, std::vector<std::string>());
    }
  }
}

} // namespace

std::vector<FleetFinding> CheckFleet(std::string_view text)
{
  const auto fleet = FleetDocument::Parse(text);
  if (!fleet) {
    // The message starts with the path of the field, if it has one.
    const std::string& message = fleet.error().message;
    const auto pathEnd = message.find(": ");
    if (pathEnd == std::string::npos) {
      return { { .severity = FindingSeverity::Error, .path = "", .text = message } };
    }
    return { { .severity = FindingSeverity::Error,
               .path = message.substr(0, pathEnd),
               .text = message.substr(pathEnd + 2) } };
  }
  return Checker(fleet.value(), json::parse(text)).Run();
}

ConfigResult<std::vector<FleetDifference>> CompareFleets(std::string_view before,
                                                         std::string_view after)
{
  for (const std::string_view text : { before, after }) {
    const auto fleet = FleetDocument::Parse(text);
    if (!fleet) {
      return boost::outcome_v2::failure(fleet.error());
    }
  }
  json old = json::parse(before);
  json current = json::parse(after);
  std::vector<FleetDifference> differences;
  for (const char* list : kNamedLists) {
    CompareLists(list, old[list], current[list], differences);
    old.erase(list);
    current.erase(list);
  }
  for (const std::string& field : DifferentFields(old, current)) {
    const bool isNew = !old.contains(field);
    const bool isGone = !current.contains(field);
    differences.push_back({ .kind = isNew    ? DifferenceKind::Added
                                    : isGone ? DifferenceKind::Removed
                                             : DifferenceKind::Changed,
                            .entry = field });
  }
  return differences;
}

} // namespace acp
