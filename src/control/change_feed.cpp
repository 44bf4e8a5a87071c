#include "acaciapulley/control/change_feed.hpp"

#include <cstddef> // size_t
#include <map>     // map
#include <string>  // string
#include <utility> // move

namespace acp {

namespace {

std::size_t BytesOf(const StateChanges& change)
{
  std::size_t bytes = sizeof change;
  for (const auto& document : change.documents) {
    bytes += sizeof document + document.service.size() + document.body.size();
  }
  for (const auto& key : change.issuedKeys) {
    bytes += sizeof key + key.id.size() + key.hash.size() + key.account.size();
  }
  for (const auto& id : change.revokedKeyIds) {
    bytes += sizeof(std::string) + id.size();
  }
  return bytes;
}

} // namespace

void ChangeFeed::Append(StateChanges change)
{
  change.fromVersion = version_;
  change.toVersion = ++version_;
  recentBytes_ += BytesOf(change);
  recent_.push_back(std::move(change));
  while (recent_.size() > kMaxRecentChanges ||
         (recentBytes_ > kMaxRecentBytes && recent_.size() > 1)) {
    recentBytes_ -= BytesOf(recent_.front());
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
  recentBytes_ = 0;
}

} // namespace acp
