#include "acaciapulley/control/audit_trail.hpp"

#include <algorithm> // max, min
#include <iterator>  // make_move_iterator
#include <utility>   // move

namespace acp {

void AuditTrail::Append(AuditEntry entry)
{
  entry.number = nextNumber_++;
  entries_.push_back(std::move(entry));
  if (entries_.size() > kMaxAuditEntries) {
    entries_.pop_front();
  }
}

std::vector<AuditEntry> AuditTrail::EntriesFrom(std::int64_t number, std::size_t limit) const
{
  const std::int64_t oldest = nextNumber_ - static_cast<std::int64_t>(entries_.size());
  const std::int64_t first = std::max(number, oldest);
  if (first >= nextNumber_) {
    return {};
  }
  const auto start = static_cast<std::size_t>(first - oldest);
  const std::size_t count = std::min(limit, entries_.size() - start);
  const auto begin = entries_.begin() + static_cast<std::ptrdiff_t>(start);
  return { begin, begin + static_cast<std::ptrdiff_t>(count) };
}

void AuditTrail::Restore(std::vector<AuditEntry> entries, std::int64_t nextNumber)
{
  entries_ = std::deque<AuditEntry>(std::make_move_iterator(entries.begin()),
                                    std::make_move_iterator(entries.end()));
  nextNumber_ = nextNumber;
}

} // namespace acp
