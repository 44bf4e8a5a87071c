#include "acaciapulley/control/control_state.hpp"

#include <utility> // move

#include <fmt/format.h> // format

namespace acp {

namespace {

// A day has 470 changes of configuration; a node that lacks more takes a snapshot.
constexpr std::size_t kMaxRecentChanges = 1000;

} // namespace

ControlResult<std::int64_t> ControlState::PutDocument(const std::string& body,
                                                      std::int64_t ifVersion)
{
  const auto parsed = ServiceDocument::Parse(body);
  if (!parsed) {
    return Fail(ControlErrorCode::InvalidDocument, parsed.error().Describe());
  }
  const std::string& service = parsed.value().Service();
  StoredDocument& stored = documents_[service];
  if (stored.version != ifVersion) {
    return Fail(ControlErrorCode::VersionConflict,
                fmt::format("service '{}' is at version {}, the change was made from {}",
                            service,
                            stored.version,
                            ifVersion));
  }
  stored.service = service;
  stored.version = ifVersion + 1;
  stored.body = body;
  Remember({ .documents = { stored } });
  return stored.version;
}

ControlResult<void> ControlState::IssueKey(const KeyRecord& record)
{
  const auto issued = keys_.Issue(record);
  if (!issued) {
    return Fail(ControlErrorCode::KeyRefused, issued.error().Describe());
  }
  Remember({ .issuedKeys = { record } });
  return boost::outcome_v2::success();
}

ControlResult<KeyRecord> ControlState::RevokeKey(const std::string& id)
{
  const auto revoked = keys_.Revoke(id);
  if (!revoked) {
    return Fail(ControlErrorCode::KeyRefused, revoked.error().Describe());
  }
  Remember({ .revokedKeyIds = { id } });
  return revoked.value();
}

void ControlState::Remember(StateChanges content)
{
  ++version_;
  recent_.push_back({ .version = version_, .content = std::move(content) });
  if (recent_.size() > kMaxRecentChanges) {
    recent_.erase(recent_.begin());
  }
}

StateChanges ControlState::Snapshot() const
{
  StateChanges all{ .isSnapshot = true, .toVersion = version_ };
  for (const auto& [service, document] : documents_) {
    if (document.version > 0) {
      all.documents.push_back(document);
    }
  }
  all.issuedKeys = keys_.List("");
  return all;
}

StateChanges ControlState::ChangesSince(std::int64_t version) const
{
  const std::int64_t oldestKnown = version_ - static_cast<std::int64_t>(recent_.size());
  if (version < oldestKnown || version > version_ || version == 0) {
    return Snapshot();
  }
  StateChanges changes{ .fromVersion = version, .toVersion = version_ };
  for (const auto& change : recent_) {
    if (change.version <= version) {
      continue;
    }
    const auto& content = change.content;
    changes.documents.insert(
      changes.documents.end(), content.documents.begin(), content.documents.end());
    changes.issuedKeys.insert(
      changes.issuedKeys.end(), content.issuedKeys.begin(), content.issuedKeys.end());
    changes.revokedKeyIds.insert(
      changes.revokedKeyIds.end(), content.revokedKeyIds.begin(), content.revokedKeyIds.end());
  }
  return changes;
}

const StoredDocument* ControlState::DocumentOf(const std::string& service) const
{
  const auto found = documents_.find(service);
  return found == documents_.end() || found->second.version == 0 ? nullptr : &found->second;
}

std::vector<KeyRecord> ControlState::Keys(const std::string& account) const
{
  return keys_.List(account);
}

} // namespace acp
