#pragma once

/// @file
/// Extension points of the control process.

#include <cstdint>    // int64_t, uint64_t
#include <functional> // function
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/control/control_error.hpp" // ControlResult
#include "acaciapulley/core/clock.hpp"            // Duration

namespace acp::wire {
class SyncRequest;
class TokenReply;
class TokenRequest;
} // namespace acp::wire

namespace acp {

class ControlState;

/// Leadership of this replica at the time of a call.
struct Leadership
{
  std::uint64_t term = 0;
  Duration leadingFor{}; ///< time since the first entry of the term was applied here
};

/// Record rows of one hour to be stored in the log.
struct RecordToStore
{
  std::int64_t hourMs = 0;
  std::string rows; ///< at most kMaxRecordRows bytes
};

/// Callbacks of the control process, called from any thread. Without a callback the request is
/// answered with `unsupported_call`, or the step is skipped.
struct ControlHooks
{
  /// Answers AcquireTokens. Called only while this replica is the leader and its leadership was
  /// confirmed within the last 1 s.
  std::function<ControlResult<void>(wire::TokenReply& reply,
                                    const wire::TokenRequest& request,
                                    const Leadership& leadership)>
    acquireTokens;

  /// Processes the report rows of a Sync request (`nodeId`, `epoch`, `reportNumber`, `report`) and
  /// returns the number of the last accepted report.
  std::function<std::int64_t(const wire::SyncRequest& request)> acceptReport;

  /// Returns rows to store, if any; called about once a second on the leader. The rows of one call
  /// are stored atomically; `wasStored` is whether those of the previous call were stored.
  std::function<std::optional<RecordToStore>(bool wasStored)> collectRecord;

  /// Answers `GET /v1/report`: returns JSON text for the query string (the part after `?`).
  std::function<ControlResult<std::string>(const ControlState& state, const std::string& query)>
    renderReport;
};

} // namespace acp
