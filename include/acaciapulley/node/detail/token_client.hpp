#pragma once

/// @file
/// Reserves rate tokens for requests and acquires more from control.

#include <atomic>             // atomic
#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <cstdint>            // int64_t, uint64_t
#include <deque>              // deque
#include <map>                // map
#include <memory>             // shared_ptr
#include <mutex>              // mutex
#include <optional>           // optional
#include <stop_token>         // stop_token
#include <string>             // string
#include <thread>             // thread
#include <vector>             // vector

#include "acaciapulley/core/clock.hpp"               // Clock
#include "acaciapulley/core/wait_point.hpp"          // WaitPoint
#include "acaciapulley/limits/token_lease_table.hpp" // TokenLeaseTable
#include "acaciapulley/node/detail/claim_client.hpp" // ControlCall
#include "acaciapulley/node/refusal.hpp"             // OrRefusal

namespace acp::wire {
class TokenAnswer;
} // namespace acp::wire

namespace acp::detail {

/// Construction options of a TokenClient.
struct TokenClientOptions
{
  std::string nodeId;
  std::int64_t epoch = 0;
  const Clock* clock = nullptr;
  ControlCall call;
};

/// Calls to control since the start of the node.
struct TokenCallCounts
{
  std::uint64_t calls = 0;
  std::uint64_t failed = 0; ///< without a usable reply
};

/// The rate tokens of a node. Calls may come from any thread.
///
/// One thread calls control with all asks that are due, one call at a time. A node thus has at most
/// one call in progress, however many requests wait and however slowly control replies. While calls
/// fail, the pause between them grows.
class TokenClient
{
public:
  /// A token reserved for one request; released when it is destroyed without Commit.
  class Token
  {
  public:
    Token(TokenClient& client, LimitKey key, TokenReservation reservation);
    Token(const Token&) = delete;
    Token& operator=(const Token&) = delete;
    ~Token();

    /// @brief Spends the token; further calls return the first result.
    /// @return false when the lease has expired; the request must then not run
    [[nodiscard]] bool Commit();

  private:
    enum class State
    {
      Reserved,
      Spent,
      Expired,
    };

    TokenClient& client_;
    LimitKey key_;
    TokenReservation reservation_;
    State state_ = State::Reserved;
  };

  explicit TokenClient(TokenClientOptions options);
  TokenClient(const TokenClient&) = delete;
  TokenClient& operator=(const TokenClient&) = delete;
  ~TokenClient();

  /// @brief Reserves a token; waits for control if the node has none. While calls to control keep
  /// failing, one request of each account waits and the others are refused at once.
  /// @param callerGone ends the wait when the caller disconnects
  /// @return the token, or a refusal with 429 (rate exceeded) or 503 (control unreachable, or the
  /// caller gone)
  OrRefusal<std::shared_ptr<Token>> Reserve(const LimitKey& key, const std::stop_token& callerGone);

  [[nodiscard]] TokenCallCounts CallCounts() const;

private:
  /// A request that waits for a token; owned by its thread.
  struct Waiter
  {
    WaitPoint point;
    bool isWoken = false; ///< and has not tried to reserve a token since
  };

  OrRefusal<std::shared_ptr<Token>> WaitForToken(const LimitKey& key,
                                                 Waiter& waiter,
                                                 const std::stop_token& callerGone);
  /// @return false when @p maxWaiters requests wait already
  bool AddWaiter(const LimitKey& key, Waiter& waiter, std::size_t maxWaiters);
  void RemoveWaiter(const LimitKey& key, const Waiter& waiter);
  void WaitForWake(Waiter& waiter, Duration maxWait);
  void Wake(const LimitKey& key, std::size_t count);
  /// @return the result of the wait, if it has ended
  std::optional<OrRefusal<std::shared_ptr<Token>>> TryFinishWait(const LimitKey& key,
                                                                 TimePoint deadline);
  void WakeSender();
  /// @return whether control sent a usable reply
  bool Send(const std::vector<TokenAsk>& asks);
  void ApplyAnswer(const TokenAsk& ask, const wire::TokenAnswer& wireAnswer, TimePoint now);
  void RecordCall(bool isAnswered, const std::string& error, TimePoint now);
  void Run();

  TokenClientOptions options_;
  TokenLeaseTable table_;
  std::atomic<TimePoint> lastAnswer_{ TimePoint() };
  /// Calls have failed for as long as a request waits for a token.
  std::atomic<bool> isControlSilent_{ false };
  std::mutex mutex_;
  std::condition_variable senderWakeUp_; ///< wakes the thread that calls control
  bool isSendRequested_ = false;
  bool stopping_ = false;
  std::map<LimitKey, std::deque<Waiter*>> waiters_; ///< in the order of their arrival
  // Used only by the thread that calls control.
  TimePoint failingSince_;
  std::uint64_t consecutiveFailures_ = 0;
  std::atomic<std::uint64_t> calls_{ 0 };
  std::atomic<std::uint64_t> failedCalls_{ 0 };
  std::thread thread_;
};

} // namespace acp::detail
