#pragma once

/// @file
/// Order of the processes that follow each other at one node.

#include <chrono>  // seconds
#include <cstdint> // int64_t

#include "acaciapulley/core/clock.hpp" // Duration

namespace acp {

/// A process that has sent nothing for this long has ended, if another one of its node sends. Nodes
/// poll each second, and give a call up after one more.
inline constexpr Duration kEndedProcessSilence = std::chrono::seconds(3);

/// @brief Returns whether a message is a late one of a process before the one that is known.
///
/// A node's epoch is its start by the wall clock. If that was set back in between, the later
/// process has the lower epoch, and follows the known one once that has fallen silent.
/// @param epoch stated in the message
/// @param knownEpoch of the process that is known
/// @param silence time since the last message of that process
[[nodiscard]] inline bool IsFromEarlierProcess(std::int64_t epoch,
                                               std::int64_t knownEpoch,
                                               Duration silence)
{
  return epoch < knownEpoch && silence < kEndedProcessSilence;
}

} // namespace acp
