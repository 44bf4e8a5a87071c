#pragma once

/// @file
/// Relays an upstream's response to the caller.

#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string

#include "acaciapulley/node/detail/attempt.hpp"      // AttemptResult, PendingCall
#include "acaciapulley/node/detail/claim_client.hpp" // RecordedOutcome, kMaxOutcomeBodyBytes
#include "acaciapulley/transport/http_client.hpp"    // ClientExchange

namespace acp::detail {

/// Longest wait for the next bytes of a response body.
inline constexpr Duration kBodyIdleTimeout = std::chrono::seconds(10);

/// Longest time for a whole response body. A faulty server may send bytes without end.
inline constexpr Duration kBodyTimeout = std::chrono::seconds(60);

/// Records whether a body ended early while its caller was still connected, which is a failure of
/// its upstream.
class ObservedBody final : public BodySource
{
public:
  /// @param exchange the exchange with the caller
  ObservedBody(BodySource& source, const ServerExchange& exchange);

  std::size_t Read(char* buffer, std::size_t size) override;

  [[nodiscard]] bool HasFailed() const { return hasFailed_; }

private:
  BodySource& source_;
  const ServerExchange& exchange_;
  bool hasFailed_ = false;
};

/// Records a body for the outcome of a claim while it is passed on.
class RecordingBody final : public BodySource
{
public:
  explicit RecordingBody(BodySource& source);
  ~RecordingBody() override;

  std::size_t Read(char* buffer, std::size_t size) override;

  /// @brief Returns the outcome to record. Requires that the body was read to its end.
  [[nodiscard]] RecordedOutcome ToOutcome(const HttpResponseHead& head) const;

private:
  class Digest;

  BodySource& source_;
  std::string kept_;
  bool isKept_ = true;
  std::unique_ptr<Digest> digest_;
};

/// @brief Reads and discards the rest of a body, so that its outcome can be recorded after the
/// caller has disconnected.
/// @return whether the body is complete
[[nodiscard]] bool DiscardBody(BodySource& body);

/// @brief Returns the translation for connections on which responses may echo kAttemptHeader.
[[nodiscard]] HttpTranslation AttemptEchoTranslation();

/// @brief Sends @p head with the body of @p call, and records whether the request was forwarded.
[[nodiscard]] TransportResult<std::unique_ptr<ClientExchange>> Forward(PendingCall& call,
                                                                       HttpPool& pool,
                                                                       const HttpRequestHead& head,
                                                                       const SendOptions& options);

/// @brief Returns whether the upstream or peer reports that it has not run the request.
[[nodiscard]] bool ReportsNotRun(const HttpResponseHead& head);

/// @brief Discards a server error if another attempt follows it.
/// @return the result of the attempt, or nothing when the response is to be delivered
[[nodiscard]] std::optional<AttemptResult> DiscardServerErrorForRetry(const PendingCall& call,
                                                                      ClientExchange& response,
                                                                      int unusedRetries);

/// @brief Returns the body of a response as the message of a refusal, or a fixed text when the body
/// is larger than 4 KiB or truncated.
[[nodiscard]] std::string ReadMessage(ClientExchange& response);

} // namespace acp::detail
