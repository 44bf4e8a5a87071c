#include "acaciapulley/control/detail/control_state_impl.hpp" // Impl
#include "acaciapulley/control/detail/control_wire.hpp"       // FromWire, ToWire
#include "acaciapulley/control/detail/wire_codec.hpp"         // DecodeWire, EncodeWire

namespace acp {

namespace {

wire::DocumentHistory HistoryOf(const std::string& service,
                                const std::vector<StoredDocument>& versions)
{
  wire::DocumentHistory history;
  history.serviceName = service;
  for (const auto& document : versions) {
    wire::DocumentVersion version;
    version.version = document.version;
    version.timeMs = CountMillis(document.changedAt);
    version.operatorName = document.operatorName;
    version.body = document.body;
    version.stateVersion = document.stateVersion;
    history.versions.push_back(version);
  }
  return history;
}

std::vector<StoredDocument> VersionsOf(const std::vector<wire::DocumentHistory>& histories)
{
  std::vector<StoredDocument> versions;
  for (const auto& history : histories) {
    for (const auto& version : history.versions) {
      versions.push_back({ .service = history.serviceName,
                           .version = version.version,
                           .body = version.body,
                           .changedAt = ToUnixMillis(version.timeMs),
                           .operatorName = version.operatorName,
                           .stateVersion = version.stateVersion });
    }
  }
  return versions;
}

wire::LedgerRow RowOf(const AnsweredRequest& request)
{
  wire::LedgerRow row;
  row.origin = detail::ToWire(request.origin);
  row.timeMs = CountMillis(request.time);
  row.fingerprint = request.fingerprint;
  (void)detail::DecodeWire(request.reply, &row.reply);
  return row;
}

AnsweredRequest RequestOf(const wire::LedgerRow& row)
{
  return { .origin = detail::FromWire(row.origin),
           .time = ToUnixMillis(row.timeMs),
           .fingerprint = row.fingerprint,
           .reply = detail::EncodeWire(row.reply) };
}

wire::NodeNote NoteOf(const KnownNode& node)
{
  wire::NodeNote note;
  note.nodeId = node.nodeId;
  note.serviceName = node.service;
  note.event = node.isDraining ? wire::NodeEvent::DRAINING : wire::NodeEvent::SERVING;
  return note;
}

} // namespace

StateChanges ControlState::Impl::Snapshot() const
{
  return { .isSnapshot = true,
           .toVersion = feed.Version(),
           .documents = documents.AllCurrent(),
           .issuedKeys = keys.List("") };
}

wire::ControlSnapshot ControlState::Impl::Take() const
{
  wire::ControlSnapshot snapshot;
  snapshot.formatVersion = kControlFormat;
  snapshot.stateVersion = feed.Version();
  for (const auto& document : documents.AllCurrent()) {
    const auto& service = document.service;
    snapshot.documents.push_back(HistoryOf(service, documents.History(service)));
  }
  for (const auto& key : keys.List("")) {
    snapshot.keys.push_back(detail::ToWire(key));
  }
  snapshot.revokedKeyIds.assign(keys.RevokedIds().begin(), keys.RevokedIds().end());
  for (const auto& request : ledger.All()) {
    snapshot.ledger.push_back(RowOf(request));
  }
  snapshot.nextAuditNumber = audit.NextNumber();
  for (const auto& entry : audit.From(0, kMaxAuditEntries)) {
    snapshot.audit.push_back(detail::ToWire(entry));
  }
  snapshot.claimsTimeMs = CountMillis(claims.LatestTime());
  for (const auto& claim : claims.Records()) {
    snapshot.claims.push_back(detail::ToWire(claim));
  }
  for (const auto& released : claims.ReleasedAttempts()) {
    wire::ReleasedAttemptRow row;
    row.attemptId = released.attemptId;
    row.untilMs = CountMillis(released.until);
    snapshot.releasedAttempts.push_back(row);
  }
  for (const auto& [nodeId, node] : roster) {
    snapshot.roster.push_back(NoteOf(node));
  }
  snapshot.retiredReplicas.assign(retiredReplicas.begin(), retiredReplicas.end());
  for (const auto& [place, rows] : record) {
    wire::StoreRecordCommand row;
    row.hourMs = place.first;
    row.source = place.second;
    row.rows = rows;
    snapshot.record.push_back(row);
  }
  wire::FleetSnapshot taken;
  taken.version = fleet.Current().version;
  taken.document = fleet.Current().document;
  taken.source = fleet.Current().source;
  taken.acceptedDigests.assign(fleet.AcceptedDigests().begin(), fleet.AcceptedDigests().end());
  taken.secret = fleet.Secret();
  snapshot.__set_fleet(taken);
  return snapshot;
}

void ControlState::Impl::Restore(const wire::ControlSnapshot& snapshot)
{
  feed.Restore(snapshot.stateVersion);
  documents.Restore(VersionsOf(snapshot.documents));
  std::vector<KeyRecord> records;
  for (const auto& key : snapshot.keys) {
    records.push_back(detail::FromWire(key));
  }
  keys.Restore(records, snapshot.revokedKeyIds);
  std::vector<AnsweredRequest> requests;
  for (const auto& row : snapshot.ledger) {
    requests.push_back(RequestOf(row));
  }
  ledger.Restore(requests);
  std::vector<AuditEntry> entries;
  for (const auto& row : snapshot.audit) {
    entries.push_back(detail::FromWire(row));
  }
  audit.Restore(std::move(entries), snapshot.nextAuditNumber);
  std::vector<ClaimRecord> claimRecords;
  for (const auto& row : snapshot.claims) {
    claimRecords.push_back(detail::FromWire(row));
  }
  std::vector<ReleasedAttempt> released;
  for (const auto& row : snapshot.releasedAttempts) {
    released.push_back({ row.attemptId, ToUnixMillis(row.untilMs) });
  }
  claims.Restore(claimRecords, ToUnixMillis(snapshot.claimsTimeMs), released);
  roster.clear();
  for (const auto& note : snapshot.roster) {
    const bool isDraining = note.event == wire::NodeEvent::DRAINING;
    roster[note.nodeId] = { note.nodeId, note.serviceName, isDraining };
  }
  retiredReplicas = { snapshot.retiredReplicas.begin(), snapshot.retiredReplicas.end() };
  record.clear();
  for (const auto& row : snapshot.record) {
    record[{ row.hourMs, row.source }] = row.rows;
  }
  const wire::FleetSnapshot& stored = snapshot.fleet;
  fleet.Restore({ .version = stored.version, .document = stored.document, .source = stored.source },
                { stored.acceptedDigests.begin(), stored.acceptedDigests.end() },
                stored.secret);
}

} // namespace acp
