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

wire::NodeNote NoteOf(const JoinedNode& node)
{
  wire::NodeNote note;
  note.nodeId = node.nodeId;
  note.serviceName = node.service;
  note.event = node.isDraining ? wire::NodeEvent::DRAINING : wire::NodeEvent::SERVING;
  return note;
}

} // namespace

StateChanges ControlState::Impl::MakeNodeSnapshot() const
{
  return { .isSnapshot = true,
           .toVersion = feed.Version(),
           .documents = documents.AllCurrent(),
           .issuedKeys = keys.List("") };
}

wire::ControlSnapshot ControlState::Impl::MakeLogSnapshot() const
{
  wire::ControlSnapshot snapshot;
  snapshot.formatVersion = kBaseControlFormat;
  snapshot.stateVersion = feed.Version();
  for (const auto& document : documents.AllCurrent()) {
    const auto& service = document.service;
    snapshot.documents.push_back(HistoryOf(service, documents.History(service)));
  }
  for (const auto& key : keys.List("")) {
    snapshot.keys.push_back(detail::ToWire(key));
  }
  snapshot.revokedKeyIds.assign(keys.RevokedIds().begin(), keys.RevokedIds().end());
  for (const auto& request : operatorRequests.All()) {
    snapshot.ledger.push_back(RowOf(request));
  }
  snapshot.nextAuditNumber = audit.NextNumber();
  for (const auto& entry : audit.EntriesFrom(0, kMaxAuditEntries)) {
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
  for (const auto& [nodeId, node] : joinedNodes) {
    snapshot.roster.push_back(NoteOf(node));
  }
  snapshot.retiredReplicas.assign(retiredReplicas.begin(), retiredReplicas.end());
  for (const auto& [hourAndSource, rows] : record) {
    wire::StoreRecordCommand row;
    row.hourMs = hourAndSource.first;
    row.source = hourAndSource.second;
    row.rows = rows;
    snapshot.record.push_back(row);
  }
  wire::FleetSnapshot fleetMessage;
  fleetMessage.version = fleet.Current().version;
  fleetMessage.document = fleet.Current().document;
  fleetMessage.source = fleet.Current().source;
  fleetMessage.acceptedDigests.assign(fleet.AcceptedDigests().begin(),
                                      fleet.AcceptedDigests().end());
  fleetMessage.secret = fleet.Secret();
  snapshot.__set_fleet(fleetMessage);
  if (const auto evacuated = evacuations.All(); !evacuated.empty()) {
    snapshot.formatVersion = kControlFormat;
    snapshot.__set_evacuatedDataCentres(evacuated);
  }
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
  operatorRequests.Restore(requests);
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
  joinedNodes.clear();
  for (const auto& note : snapshot.roster) {
    const bool isDraining = note.event == wire::NodeEvent::DRAINING;
    joinedNodes[note.nodeId] = { note.nodeId, note.serviceName, isDraining };
  }
  retiredReplicas = { snapshot.retiredReplicas.begin(), snapshot.retiredReplicas.end() };
  record.clear();
  for (const auto& row : snapshot.record) {
    record[{ row.hourMs, row.source }] = row.rows;
  }
  const wire::FleetSnapshot& fleetMessage = snapshot.fleet;
  fleet.Restore({ .version = fleetMessage.version,
                  .document = fleetMessage.document,
                  .source = fleetMessage.source },
                { fleetMessage.acceptedDigests.begin(), fleetMessage.acceptedDigests.end() },
                fleetMessage.secret);
  evacuations.Restore(snapshot.evacuatedDataCentres);
}

} // namespace acp
