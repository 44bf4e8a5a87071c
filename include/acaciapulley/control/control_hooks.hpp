#pragma once

/// @file
/// Parts of the control process that other modules provide.

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

/// How this replica leads at the moment of a call.
struct Leadership
{
  std::uint64_t term = 0;
  Duration leadingFor{}; ///< since the term's first entry was applied here
};

/// Rows of the record that are to be stored in the log.
struct RecordToStore
{
  std::int64_t hourMs = 0;
  std::string rows; ///< at most kMaxRecordRows
};

/// Calls may come from any thread. An empty function answers `unsupported_call`, or nothing.
struct ControlHooks
{
  /// Answers AcquireTokens. Called only while this replica leads and has confirmed it within 1 s.
  std::function<ControlResult<void>(wire::TokenReply& reply,
                                    const wire::TokenRequest& request,
                                    const Leadership& leadership)>
    acquireTokens;

  /// Takes the report rows of a Sync (`nodeId`, `epoch`, `reportNumber`, `report`) and returns the
  /// number of the last report that was taken over.
  std::function<std::int64_t(const wire::SyncRequest& request)> acceptReport;

  /// Returns rows to store, asked about once a second on the leader. The rows of one call are
  /// stored whole; `wasStored` tells whether those of the call before were.
  std::function<std::optional<RecordToStore>(bool wasStored)> collectRecord;

  /// Answers `GET /v1/report`: returns the JSON text for the query (the part after `?`).
  std::function<ControlResult<std::string>(const ControlState& state, const std::string& query)>
    renderReport;
};

} // namespace acp
