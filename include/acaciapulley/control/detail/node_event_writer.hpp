#pragma once

/// @file
/// Writes joins, drains and losses of nodes to the log, and the hourly record.

#include <condition_variable> // condition_variable
#include <mutex>              // mutex
#include <optional>           // optional
#include <string>             // string
#include <thread>             // thread

#include "acaciapulley/control/detail/control_context.hpp" // ControlContext

namespace acp::detail {

/// @brief Returns the differences between what the log knows and what the leader hears.
/// @param loggedNodes nodes that the log knows
/// @param polledNodes nodes heard in the last kNodeSilenceTimeout; a node whose member lease ended
/// counts as lost
/// @param mayMissNodes whether live nodes may be unheard yet; then none is reported lost
/// @return at most @p limit notes; the rest follows at the next call
[[nodiscard]] std::vector<wire::NodeNote> DiffNodes(const std::vector<JoinedNode>& loggedNodes,
                                                    const std::vector<NodeStatus>& polledNodes,
                                                    bool mayMissNodes,
                                                    std::size_t limit);

/// A thread that works about once a second while this replica leads.
class NodeEventWriter
{
public:
  explicit NodeEventWriter(ControlContext& context);
  NodeEventWriter(const NodeEventWriter&) = delete;
  NodeEventWriter& operator=(const NodeEventWriter&) = delete;
  ~NodeEventWriter();

  /// @brief Ends the thread.
  void Stop();

private:
  void Run();
  void WriteNodeEvents();
  void StoreRecord();

  ControlContext& context_;
  std::string source_; ///< names this process in the record
  bool wasStored_ = true;
  std::mutex mutex_;
  std::condition_variable stopRequested_;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace acp::detail
