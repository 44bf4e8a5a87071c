#pragma once

/// @file
/// Writes node events (joins, drains and losses) and the hourly record to the log.

#include <condition_variable> // condition_variable
#include <mutex>              // mutex
#include <optional>           // optional
#include <string>             // string
#include <thread>             // thread

#include "acaciapulley/control/detail/control_context.hpp" // ControlContext

namespace acp::detail {

/// @brief Returns the node events that are missing in the log.
/// @param loggedNodes nodes that have joined according to the log
/// @param polledNodes nodes that polled within kNodeSilenceTimeout; a node without a member, for
/// example after its lease ended, counts as lost
/// @param mayMissNodes whether some live nodes may not have polled yet; then no node is reported as
/// lost
/// @return at most @p limit events; the remaining ones are returned by later calls
[[nodiscard]] std::vector<wire::NodeNote> DiffNodes(const std::vector<JoinedNode>& loggedNodes,
                                                    const std::vector<NodeStatus>& polledNodes,
                                                    bool mayMissNodes,
                                                    std::size_t limit);

/// A thread that writes about once a second while this replica is the leader.
class NodeEventWriter
{
public:
  explicit NodeEventWriter(ControlContext& context);
  NodeEventWriter(const NodeEventWriter&) = delete;
  NodeEventWriter& operator=(const NodeEventWriter&) = delete;
  ~NodeEventWriter();

  /// @brief Stops and joins the thread.
  void Stop();

private:
  void Run();
  void WriteNodeEvents();
  void StoreRecord();

  ControlContext& context_;
  std::string source_; ///< identifies this process in the record
  bool wasStored_ = true;
  std::mutex mutex_;
  std::condition_variable stopRequested_;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace acp::detail
