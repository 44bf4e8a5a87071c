#pragma once

/// @file
/// Safety checks of the request pipeline. Tests disable one to show which failure it prevents.

namespace acp {

/// All checks are enabled by default; only tests disable one.
struct PipelineGuards
{
  /// Removes `Acp-Key` before a request leaves the node. With the check disabled, an upstream
  /// receives the key (P4).
  bool stripKey = true;
  /// Reports a request whose bytes may have reached the upstream as unknown and keeps its claim.
  /// With the check disabled, requests that ran are reported as "not run" (P8), and a resend runs
  /// again.
  bool unknownAfterSend = true;
  /// Requires a claim before a non-idempotent request is sent. With the check disabled, a resend
  /// runs again (P9).
  bool claimBeforeDispatch = true;
};

} // namespace acp
