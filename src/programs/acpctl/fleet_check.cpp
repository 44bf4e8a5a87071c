#include "fleet_check.hpp"

#include <fmt/format.h> // join, print

#include "acaciapulley/config/fleet_check.hpp" // CheckFleet, CompareFleets
#include "acaciapulley/transport/process.hpp"  // ReadFile

namespace acp {

ExitCode RunFleetCheck(const std::string& path, const std::string& againstPath)
{
  const std::string text = ReadFile(path);
  ExitCode result = ExitCode::Ok;
  const auto findings = CheckFleet(text);
  for (const FleetFinding& finding : findings) {
    fmt::print("{}: {}: {}{}{}\n",
               path,
               NameOf(finding.severity),
               finding.path,
               finding.path.empty() ? "" : ": ",
               finding.text);
    result = finding.severity == FindingSeverity::Error ? ExitCode::Refused : result;
  }
  if (findings.empty()) {
    fmt::print("{}: no findings\n", path);
  }
  if (againstPath.empty()) {
    return result;
  }
  const auto differences = CompareFleets(ReadFile(againstPath), text);
  if (!differences) {
    fmt::print(
      stderr, "acpctl: the documents cannot be compared: {}\n", differences.error().Describe());
    return ExitCode::Refused;
  }
  for (const FleetDifference& difference : differences.value()) {
    fmt::print("{}: {}{}{}\n",
               NameOf(difference.kind),
               difference.entry,
               difference.fields.empty() ? "" : ": ",
               fmt::join(difference.fields, ", "));
  }
  if (differences.value().empty()) {
    fmt::print("no differences from {}\n", againstPath);
  }
  return result;
}

} // namespace acp
