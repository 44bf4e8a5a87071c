#pragma once

/// @file
/// Rules of the request pipeline that tests switch off to show what each prevents.

namespace acp {

/// All rules hold by default. Only tests switch one off.
struct PipelineGuards
{
  /// `Acp-Key` is removed before a request leaves the node. Only for tests: without it an upstream
  /// receives the key (P4).
  bool stripKey = true;
  /// A request whose bytes may have reached the upstream ends as unknown and keeps its claim. Only
  /// for tests: without it "not run" is said of requests that ran (P8), and a resend runs again.
  bool unknownAfterSend = true;
  /// A non-idempotent request needs a claim before it is dispatched. Only for tests: without it a
  /// resend runs again (P9).
  bool claimBeforeDispatch = true;
};

} // namespace acp
