#include "acaciapulley/control/change_feed.hpp"

#include <map>     // map
#include <utility> // move

namespace acp {

void ChangeFeed::Append(StateChanges change)
{
  change.fromVersion = version_;
  change.toVersion = ++version_;
  recent_.push_back(std::move(change));
  if (recent_.size() > kMaxRecentChanges) {
    recent_.pop_front();
  }
}

bool ChangeFeed::Collect(std::int64_t version, StateChanges* changes) const
{
  const std::int64_t oldest = version_ - static_cast<std::int64_t>(recent_.size());
  // A node at version 0 has no state at all and always needs a snapshot.
  if (version <= 0 || version < oldest || version > version_) {
    return false;
  }
  std::map<std::string, StoredDocument> documents;
  for (auto i = static_cast<std::size_t>(version - oldest); i < recent_.size(); ++i) {
    const StateChanges& change = recent_[i];
    for (const auto& document : change.documents) {
      documents[document.service] = document;
    }
    changes->issuedKeys.insert(
      changes->issuedKeys.end(), change.issuedKeys.begin(), change.issuedKeys.end());
    changes->revokedKeyIds.insert(
      changes->revokedKeyIds.end(), change.revokedKeyIds.begin(), change.revokedKeyIds.end());
  }
  for (auto& [service, document] : documents) {
    changes->documents.push_back(std::move(document));
  }
  changes->fromVersion = version;
  changes->toVersion = version_;
  return true;
}

void ChangeFeed::Restore(std::int64_t version)
{
  version_ = version;
  recent_.clear();
}

} // namespace acp
