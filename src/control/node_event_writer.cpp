#include "acaciapulley/control/detail/node_event_writer.hpp"

#include <algorithm> // min
#include <map>       // map
#include <utility>   // move

#include "acaciapulley/core/log.hpp"    // Log
#include "acaciapulley/core/random.hpp" // RandomHex

namespace acp::detail {

namespace {

constexpr Duration kWriteInterval = std::chrono::seconds(1);
constexpr Duration kProposeTimeout = std::chrono::seconds(1);
// At one entry per second, the joins of all 540 nodes are logged within 9 s, while a flapping node
// cannot fill the log.
constexpr std::size_t kMaxNotesPerEntry = 64;
constexpr std::size_t kSourceBytes = 8;

wire::NodeNote MakeNote(const std::string& nodeId,
                        const std::string& service,
                        wire::NodeEvent::type event)
{
  wire::NodeNote note;
  note.nodeId = nodeId;
  note.serviceName = service;
  note.event = event;
  return note;
}

} // namespace

std::vector<wire::NodeNote> DiffNodes(const std::vector<JoinedNode>& loggedNodes,
                                      const std::vector<NodeStatus>& polledNodes,
                                      bool mayMissNodes,
                                      std::size_t limit)
{
  std::vector<wire::NodeNote> notes;
  std::map<std::string, JoinedNode> missingNodes;
  for (const auto& node : loggedNodes) {
    missingNodes.emplace(node.nodeId, node);
  }
  for (const auto& node : polledNodes) {
    if (!node.member) {
      continue;
    }
    const auto found = missingNodes.find(node.nodeId);
    const auto& service = node.member->service;
    if (found == missingNodes.end()) {
      notes.push_back(MakeNote(node.nodeId, service, wire::NodeEvent::JOINED));
    }
    const bool wasDraining = found != missingNodes.end() && found->second.isDraining;
    if (node.member->draining != wasDraining) {
      const auto event =
        node.member->draining ? wire::NodeEvent::DRAINING : wire::NodeEvent::SERVING;
      notes.push_back(MakeNote(node.nodeId, service, event));
    }
    missingNodes.erase(node.nodeId);
  }
  for (const auto& [nodeId, node] : missingNodes) {
    if (!mayMissNodes) {
      notes.push_back(MakeNote(nodeId, node.service, wire::NodeEvent::LOST));
    }
  }
  notes.resize(std::min(notes.size(), limit));
  return notes;
}

NodeEventWriter::NodeEventWriter(ControlContext& context)
  : context_(context)
  , source_(RandomHex(kSourceBytes))
  , thread_([this] { Run(); })
{
}

NodeEventWriter::~NodeEventWriter()
{
  Stop();
}

void NodeEventWriter::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopRequested_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void NodeEventWriter::Run()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    if (context_.ConfirmedLeadershipAge()) {
      WriteNodeEvents();
      StoreRecord();
    }
    lock.lock();
    stopRequested_.wait_for(lock, kWriteInterval, [this] { return stopping_; });
  }
}

void NodeEventWriter::WriteNodeEvents()
{
  const Leadership leadership = context_.CurrentLeadership();
  const auto loggedNodes = context_.state.JoinedNodes();
  std::vector<NodeStatus> polledNodes;
  {
    const std::lock_guard lock(context_.nodesMutex);
    const TimePoint now = context_.clock.Now();
    context_.nodes.BeginTerm(leadership.term);
    context_.nodes.Expire(now);
    polledNodes = context_.nodes.Nodes(now);
  }
  auto notes = DiffNodes(
    loggedNodes, polledNodes, leadership.leadingFor <= kNodeSilenceTimeout, kMaxNotesPerEntry);
  if (notes.empty()) {
    return;
  }
  for (const auto& note : notes) {
    Log(LogLevel::Info,
        "node_changed",
        { { "node", note.nodeId },
          { "service", note.serviceName },
          { "event", wire::to_string(note.event) } });
  }
  wire::ControlCommand command;
  command.__isset.noteNodes = true;
  command.noteNodes.notes = std::move(notes);
  const auto written = context_.Propose(command, kProposeTimeout);
  if (!written) {
    Log(LogLevel::Warning, "journal_delayed", { { "error", written.error().Describe() } });
  }
}

void NodeEventWriter::StoreRecord()
{
  if (!context_.hooks.collectRecord) {
    return;
  }
  const auto collected = context_.hooks.collectRecord(wasStored_);
  if (!collected) {
    return;
  }
  wire::ControlCommand command;
  command.__isset.storeRecord = true;
  command.storeRecord.hourMs = collected->hourMs;
  command.storeRecord.source = source_;
  command.storeRecord.rows = collected->rows;
  const auto written = context_.Propose(command, kProposeTimeout);
  wasStored_ = written && written.value().errorCode == 0;
  if (!wasStored_) {
    Log(LogLevel::Warning,
        "record_not_stored",
        { { "error", written ? written.value().message : written.error().Describe() } });
  }
}

} // namespace acp::detail
