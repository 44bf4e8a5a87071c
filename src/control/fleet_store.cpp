#include "acaciapulley/control/fleet_store.hpp"

#include <utility> // move

#include <fmt/format.h> // format

#include "acaciapulley/core/random.hpp" // Sha256

namespace acp {

std::optional<ControlResult<PutFleetResult>> FleetStore::Settle(const FleetChange& change) const
{
  if (accepted_.contains(Sha256(change.source))) {
    return PutFleetResult{ .version = change.version, .isResend = true };
  }
  // A base that is still to come may become current; versions never go back.
  const bool canWin = change.baseVersion >= current_.version && change.version > current_.version;
  return canWin ? std::nullopt : std::optional(Check(change));
}

ControlResult<PutFleetResult> FleetStore::Put(const FleetChange& change)
{
  auto checked = Check(change);
  if (checked && !checked.value().isResend) {
    current_ = change;
    accepted_.insert(Sha256(change.source));
  }
  return checked;
}

ControlResult<PutFleetResult> FleetStore::Check(const FleetChange& change) const
{
  if (accepted_.contains(Sha256(change.source))) {
    return PutFleetResult{ .version = change.version, .isResend = true };
  }
  if (change.baseVersion != current_.version) {
    return Fail(
      ControlErrorCode::VersionConflict,
      fmt::format("the fleet document is at version {}, but the change was made from "
                  "version {}; get the current document, reapply the change and put it again",
                  current_.version,
                  change.baseVersion));
  }
  if (change.version <= current_.version) {
    return Fail(ControlErrorCode::InvalidDocument,
                fmt::format("version {} is not greater than the current version {}",
                            change.version,
                            current_.version));
  }
  return PutFleetResult{ .version = change.version };
}

void FleetStore::InitSecret(const std::string& secret)
{
  if (secret_.empty()) {
    secret_ = secret;
  }
}

void FleetStore::Restore(FleetChange current, std::set<std::string> accepted, std::string secret)
{
  current_ = std::move(current);
  accepted_ = std::move(accepted);
  secret_ = std::move(secret);
}

} // namespace acp
