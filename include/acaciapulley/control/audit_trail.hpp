#pragma once

/// @file
/// Audit trail of configuration changes and membership events.

#include <cstdint> // int64_t
#include <deque>   // deque
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/core/clock.hpp" // UnixMillis

namespace acp {

/// Maximum number of retained entries: about 5 months at 470 changes and 200 membership events a
/// day.
inline constexpr std::size_t kMaxAuditEntries = 100'000;

/// One entry of the audit trail.
struct AuditEntry
{
  std::int64_t number = 0; ///< consecutive, starting at 1
  UnixMillis time{};
  std::string operatorName; ///< `control` for events that the leader detected itself
  std::string action;
  std::string subject;
  std::int64_t fromVersion = 0;
  std::int64_t toVersion = 0;
  std::string requestId;

  bool operator==(const AuditEntry&) const = default;
};

/// Audit entries in log order. Entries are immutable. Only the newest kMaxAuditEntries are
/// retained; for a longer history, archive the output of `acpctl audit --follow`.
class AuditTrail
{
public:
  /// @brief Appends an entry and assigns its number.
  void Append(AuditEntry entry);

  /// @brief Returns up to @p limit entries, starting with number @p number.
  [[nodiscard]] std::vector<AuditEntry> EntriesFrom(std::int64_t number, std::size_t limit) const;

  /// @brief Returns the number of the next entry to be appended.
  [[nodiscard]] std::int64_t NextNumber() const { return nextNumber_; }

  /// @brief Replaces the contents, as part of restoring a snapshot.
  void Restore(std::vector<AuditEntry> entries, std::int64_t nextNumber);

private:
  std::deque<AuditEntry> entries_;
  std::int64_t nextNumber_ = 1;
};

} // namespace acp
