#include "acaciapulley/control/control_state.hpp"

#include <mutex>     // unique_lock
#include <stdexcept> // runtime_error
#include <utility>   // move

#include "acaciapulley/control/detail/control_state_impl.hpp" // Impl
#include "acaciapulley/control/detail/wire_codec.hpp"         // DecodeWire, EncodeWire

namespace acp {

ControlState::ControlState(ClaimLimits claimLimits)
  : impl_(std::make_unique<Impl>(claimLimits))
{
}

ControlState::~ControlState() = default;

std::string ControlState::Apply(const CommittedEntry& entry)
{
  wire::ControlCommand command;
  const bool isRead = detail::DecodeWire(entry.command, &command);
  if (isRead && command.formatVersion > kControlFormat) {
    throw std::runtime_error("log entry was written by a newer version of acp-control and "
                             "cannot be applied; upgrade this replica");
  }
  std::string reply;
  {
    const std::unique_lock lock(impl_->mutex);
    reply = detail::EncodeWire(impl_->Apply(isRead ? command : wire::ControlCommand{}, entry.time));
  }
  if (impl_->appliedCallback) {
    impl_->appliedCallback();
  }
  return reply;
}

void ControlState::SetAppliedCallback(std::function<void()> callback)
{
  impl_->appliedCallback = std::move(callback);
}

std::string ControlState::TakeSnapshot() const
{
  return detail::EncodeWire([this] {
    // A shared lock is held while the state is copied, so that readers are not blocked; it is
    // released before encoding, so that the log thread can continue.
    const std::shared_lock lock(impl_->mutex);
    return impl_->MakeLogSnapshot();
  }());
}

bool ControlState::Restore(const std::string& snapshot)
{
  wire::ControlSnapshot message;
  if (!detail::DecodeWire(snapshot, &message) || message.formatVersion > kControlFormat) {
    return false;
  }
  const std::unique_lock lock(impl_->mutex);
  impl_->Restore(message);
  return true;
}

StateChanges ControlState::ChangesSince(std::int64_t version) const
{
  const std::shared_lock lock(impl_->mutex);
  StateChanges changes;
  if (!impl_->feed.Collect(version, &changes)) {
    changes = impl_->MakeNodeSnapshot();
  }
  changes.evacuatedDataCentres = impl_->evacuations.All();
  return changes;
}

FleetChange ControlState::Fleet() const
{
  const std::shared_lock lock(impl_->mutex);
  return impl_->fleet.Current();
}

std::optional<ControlResult<PutFleetResult>> ControlState::SettleFleetChange(
  const FleetChange& change) const
{
  const std::shared_lock lock(impl_->mutex);
  return impl_->fleet.Settle(change);
}

std::int64_t ControlState::FleetVersion() const
{
  const std::shared_lock lock(impl_->mutex);
  return impl_->fleet.Current().version;
}

std::string ControlState::FleetSecret() const
{
  const std::shared_lock lock(impl_->mutex);
  return impl_->fleet.Secret();
}

std::vector<std::string> ControlState::EvacuatedDataCentres() const
{
  const std::shared_lock lock(impl_->mutex);
  return impl_->evacuations.All();
}

std::int64_t ControlState::Version() const
{
  const std::shared_lock lock(impl_->mutex);
  return impl_->feed.Version();
}

std::optional<StoredDocument> ControlState::DocumentOf(const std::string& service) const
{
  const std::shared_lock lock(impl_->mutex);
  const StoredDocument* document = impl_->documents.Current(service);
  return document == nullptr ? std::nullopt : std::optional(*document);
}

std::vector<StoredDocument> ControlState::Documents() const
{
  const std::shared_lock lock(impl_->mutex);
  return impl_->documents.AllCurrent();
}

std::vector<StoredDocument> ControlState::History(const std::string& service) const
{
  const std::shared_lock lock(impl_->mutex);
  return impl_->documents.History(service);
}

std::vector<KeyRecord> ControlState::Keys(const std::string& account) const
{
  const std::shared_lock lock(impl_->mutex);
  return impl_->keys.List(account);
}

std::vector<AuditEntry> ControlState::AuditEntriesFrom(std::int64_t number, std::size_t limit) const
{
  const std::shared_lock lock(impl_->mutex);
  return impl_->audit.EntriesFrom(number, limit);
}

std::int64_t ControlState::NextAuditNumber() const
{
  const std::shared_lock lock(impl_->mutex);
  return impl_->audit.NextNumber();
}

std::vector<JoinedNode> ControlState::JoinedNodes() const
{
  const std::shared_lock lock(impl_->mutex);
  std::vector<JoinedNode> nodes;
  for (const auto& [nodeId, node] : impl_->joinedNodes) {
    nodes.push_back(node);
  }
  return nodes;
}

std::size_t ControlState::JoinedNodeCount() const
{
  const std::shared_lock lock(impl_->mutex);
  return impl_->joinedNodes.size();
}

std::vector<RecordRows> ControlState::Record(UnixMillis from, UnixMillis to) const
{
  const std::shared_lock lock(impl_->mutex);
  std::vector<RecordRows> rows;
  const auto end = impl_->record.lower_bound({ CountMillis(to), "" });
  for (auto row = impl_->record.lower_bound({ CountMillis(from), "" }); row != end; ++row) {
    rows.push_back(
      { .hour = ToUnixMillis(row->first.first), .source = row->first.second, .rows = row->second });
  }
  return rows;
}

std::vector<std::string> ControlState::RetiredReplicas() const
{
  const std::shared_lock lock(impl_->mutex);
  return { impl_->retiredReplicas.begin(), impl_->retiredReplicas.end() };
}

std::size_t ControlState::ClaimCount() const
{
  const std::shared_lock lock(impl_->mutex);
  return impl_->claims.Size();
}

} // namespace acp
