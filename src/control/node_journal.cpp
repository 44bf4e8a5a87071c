#include "acaciapulley/control/detail/node_journal.hpp"

#include <algorithm> // min
#include <map>       // map
#include <utility>   // move

#include "acaciapulley/core/log.hpp"    // Log
#include "acaciapulley/core/random.hpp" // RandomHex

namespace acp::detail {

namespace {

constexpr Duration kInterval = std::chrono::seconds(1);
constexpr Duration kTimeout = std::chrono::seconds(1);
// One entry a second with this many notes holds the joins of all 540 nodes back to 9 s, and a
// flapping node cannot fill the log.
constexpr std::size_t kMaxNotes = 64;
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

std::vector<wire::NodeNote> NotesFor(const std::vector<KnownNode>& roster,
                                     const std::vector<NodeStatus>& heard,
                                     bool mayMissNodes,
                                     std::size_t limit)
{
  std::vector<wire::NodeNote> notes;
  std::map<std::string, KnownNode> known;
  for (const auto& node : roster) {
    known.emplace(node.nodeId, node);
  }
  for (const auto& node : heard) {
    if (!node.member) {
      continue;
    }
    const auto found = known.find(node.nodeId);
    const auto& service = node.member->service;
    if (found == known.end()) {
      notes.push_back(MakeNote(node.nodeId, service, wire::NodeEvent::JOINED));
    }
    const bool wasDraining = found != known.end() && found->second.isDraining;
    if (node.member->draining != wasDraining) {
      const auto event =
        node.member->draining ? wire::NodeEvent::DRAINING : wire::NodeEvent::SERVING;
      notes.push_back(MakeNote(node.nodeId, service, event));
    }
    known.erase(node.nodeId);
  }
  for (const auto& [nodeId, node] : known) {
    if (!mayMissNodes) {
      notes.push_back(MakeNote(nodeId, node.service, wire::NodeEvent::LOST));
    }
  }
  notes.resize(std::min(notes.size(), limit));
  return notes;
}

NodeJournal::NodeJournal(ControlContext& context)
  : context_(context)
  , source_(RandomHex(kSourceBytes))
  , thread_([this] { Run(); })
{
}

NodeJournal::~NodeJournal()
{
  Stop();
}

void NodeJournal::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wakeUp_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void NodeJournal::Run()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    if (context_.ConfirmedAge()) {
      WriteNotes();
      WriteRecord();
    }
    lock.lock();
    wakeUp_.wait_for(lock, kInterval, [this] { return stopping_; });
  }
}

void NodeJournal::WriteNotes()
{
  const Leadership leadership = context_.CurrentLeadership();
  const auto roster = context_.state.Roster();
  std::vector<NodeStatus> heard;
  {
    const std::lock_guard lock(context_.nodesMutex);
    const TimePoint now = context_.clock.Now();
    context_.nodes.StartTerm(leadership.term);
    context_.nodes.Expire(now);
    heard = context_.nodes.Nodes(now);
  }
  auto notes = NotesFor(roster, heard, leadership.leadingFor <= kNodeSilent, kMaxNotes);
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
  const auto written = context_.Propose(command, kTimeout);
  if (!written) {
    Log(LogLevel::Warning, "journal_delayed", { { "error", written.error().Describe() } });
  }
}

void NodeJournal::WriteRecord()
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
  const auto written = context_.Propose(command, kTimeout);
  wasStored_ = written && written.value().errorCode == 0;
  if (!wasStored_) {
    Log(LogLevel::Warning,
        "record_not_stored",
        { { "error", written ? written.value().message : written.error().Describe() } });
  }
}

} // namespace acp::detail
