#pragma once

/// @file
/// Passes an upstream's answer on to the caller.

#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string

#include "acaciapulley/node/detail/attempt.hpp"      // AttemptResult, PendingCall
#include "acaciapulley/node/detail/claim_client.hpp" // RecordedOutcome, kMaxOutcomeBodyBytes
#include "acaciapulley/transport/http_client.hpp"    // ClientExchange

namespace acp::detail {

/// Longest wait for the next bytes of an answer's body.
inline constexpr Duration kBodyIdleTimeout = std::chrono::seconds(10);

/// Longest time for an answer's body. A server in trouble may send bytes without end.
inline constexpr Duration kBodyTimeout = std::chrono::seconds(60);

/// A body that is kept for the claim's record while it is passed on.
class RecordingBody final : public BodySource
{
public:
  explicit RecordingBody(BodySource& source);
  ~RecordingBody() override;

  std::size_t Read(char* buffer, std::size_t size) override;

  /// @brief Returns the record of an answer whose body was read whole.
  [[nodiscard]] RecordedOutcome ToOutcome(const HttpResponseHead& head) const;

private:
  class Digest;

  BodySource& source_;
  std::string kept_;
  bool isKept_ = true;
  std::unique_ptr<Digest> digest_;
};

/// @brief Reads and drops what is left of a body, for a record of an answer that no longer has a
/// receiver.
/// @return whether the body is whole
[[nodiscard]] bool DiscardBody(BodySource& body);

/// @brief Returns the translation for connections on which answers may echo kAttemptHeader.
[[nodiscard]] HttpTranslation AttemptEchoTranslation();

/// @brief Returns whether the upstream or peer says itself that it did not run the request.
[[nodiscard]] bool ReportsNotRun(const HttpResponseHead& head);

/// @brief Drops a server error if another attempt follows it.
/// @return the end of the attempt, or nothing when the answer is to be delivered
[[nodiscard]] std::optional<AttemptResult> DiscardServerErrorForRetry(const PendingCall& call,
                                                                      ClientExchange& response,
                                                                      int unusedRetries);

/// @brief Returns the first 4 KiB of an answer's body, for the message of a refusal.
[[nodiscard]] std::string ReadMessage(ClientExchange& response);

} // namespace acp::detail
