#pragma once

/// @file
/// Bounds on what a Thrift peer may send: for nodes, control and replicas alike.

#include <chrono>   // steady_clock
#include <cstdint>  // int32_t, uint32_t
#include <memory>   // shared_ptr
#include <optional> // optional
#include <string>   // string

#include <thrift/TConfiguration.h>
#include <thrift/TProcessor.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp::detail {

/// Largest frame in bytes. The largest message is the answer to a node without state: 100 documents
/// of 128 KiB, 20,000 keys of at most 180 bytes and a fleet document of 1 MiB are 17 MiB. Batches
/// between replicas have up to 12 MiB, and chunks of snapshots 256 KiB.
inline constexpr std::int32_t kMaxThriftFrameBytes = 20 << 20;

/// Deepest nesting of structs and containers in a message; the messages of idl/ need fewer than 10.
inline constexpr int kMaxThriftDepth = 32;

/// Most elements in all containers of a message. The answer to a node without state has 20,640, a
/// batch between replicas at most 8192 messages and the 4096 entries in flight to each.
inline constexpr std::uint64_t kMaxThriftElements = 131'072;

/// Memory in bytes that is counted for an element of a container; no struct of idl/ is larger.
inline constexpr std::uint64_t kThriftElementBytes = 512;

/// Memory in bytes that each connection may use for a message without a share of
/// kMaxThriftMemoryBytes, so that small calls go on while that is used up.
inline constexpr std::uint64_t kFreeThriftBytes = 64U << 10U;

/// Memory in bytes for the messages that all connections of the process are receiving or handling.
/// It holds the largest batches, each as a frame and decoded, of the other 6 replicas at once.
inline constexpr std::uint64_t kMaxThriftMemoryBytes = 256U << 20U;

/// Time from the first byte of a request until its frame must be complete.
inline constexpr Duration kThriftFrameTimeout = std::chrono::seconds(5);

/// @brief Returns the limits for transports.
[[nodiscard]] std::shared_ptr<apache::thrift::TConfiguration> MakeThriftConfiguration();

/// A share of kMaxThriftMemoryBytes.
class ThriftMemoryShare
{
public:
  ThriftMemoryShare() = default;
  ThriftMemoryShare(const ThriftMemoryShare&) = delete;
  ThriftMemoryShare& operator=(const ThriftMemoryShare&) = delete;
  ~ThriftMemoryShare();

  /// @brief Changes the share to @p bytes.
  /// @throw TTransportException if the other shares leave less than that; the share is unchanged
  void Resize(std::uint64_t bytes);

private:
  std::uint64_t charged_ = 0;
};

/// A framed transport with bounds on memory and time. A message never continues in the next frame.
class BoundedFramedTransport final : public apache::thrift::transport::TFramedTransport
{
public:
  /// @param replyTimeout for clients: time from a request until its reply must be complete; servers
  /// wait for a request without limit and then for its frame for up to kThriftFrameTimeout
  BoundedFramedTransport(const std::shared_ptr<apache::thrift::transport::TTransport>& transport,
                         std::optional<Duration> replyTimeout);

  void flush() override;
  std::uint32_t readEnd() override;

  /// @brief Counts @p count elements of the message in progress.
  /// @throw TTransportException if the message has too many elements, or the memory is used up
  void CountElements(std::uint64_t count);

  /// @brief Ends the count of the last message's memory. Clients call it with readEnd(), servers
  /// once the request was handled, since the handler still holds the message.
  void ReleaseMemory();

  /// @brief Returns the peer as `ip:port`.
  [[nodiscard]] std::string PeerName() const;

protected:
  bool readFrame() override;

private:
  std::uint32_t ReadSome(std::uint8_t* buffer, std::uint32_t size);
  std::optional<std::uint32_t> ReadFrameSize();
  void ReadContent(std::uint32_t size);
  void GrowBuffer(std::uint32_t size);
  void ResizeShare() { share_.Resize(2ULL * rBufSize_ + elements_ * kThriftElementBytes); }

  std::shared_ptr<apache::thrift::transport::TSocket> socket_;
  std::optional<Duration> replyTimeout_;
  std::optional<TimePoint> deadline_;
  bool isInMessage_ = false;
  std::uint64_t elements_ = 0;
  ThriftMemoryShare share_;
};

/// The compact protocol, with lengths that are checked against the rest of the message before any
/// memory is used for them. Reads from a BoundedFramedTransport or a TMemoryBuffer.
class BoundedCompactProtocol final
  : public apache::thrift::protocol::TVirtualProtocol<BoundedCompactProtocol,
                                                      apache::thrift::protocol::TCompactProtocol>
{
public:
  explicit BoundedCompactProtocol(
    const std::shared_ptr<apache::thrift::transport::TTransport>& transport);

  // Hide functions of TCompactProtocol, which TVirtualProtocol calls.
  std::uint32_t readString(std::string& text) { return readBinary(text); }
  std::uint32_t readBinary(std::string& bytes);

protected:
  void checkReadBytesAvailable(apache::thrift::protocol::TSet& set) override;
  void checkReadBytesAvailable(apache::thrift::protocol::TList& list) override;
  void checkReadBytesAvailable(apache::thrift::protocol::TMap& map) override;

private:
  /// Throws if the rest of the message cannot hold @p count elements of one byte.
  void CheckElements(std::uint64_t count);

  BoundedFramedTransport* framed_;
};

/// @brief Returns the protocol of a client.
/// @param timeout time from a request until its reply must be complete
[[nodiscard]] std::shared_ptr<apache::thrift::protocol::TProtocol> MakeBoundedProtocol(
  const std::shared_ptr<apache::thrift::transport::TSocket>& socket,
  Duration timeout);

/// Factories for servers.
class BoundedTransportFactory final : public apache::thrift::transport::TTransportFactory
{
public:
  std::shared_ptr<apache::thrift::transport::TTransport> getTransport(
    std::shared_ptr<apache::thrift::transport::TTransport> transport) override;
};

class BoundedProtocolFactory final : public apache::thrift::protocol::TProtocolFactory
{
public:
  std::shared_ptr<apache::thrift::protocol::TProtocol> getProtocol(
    std::shared_ptr<apache::thrift::transport::TTransport> transport) override;
};

/// @brief Returns a processor that logs a malformed request and closes its connection. No exception
/// of a request ends the process.
[[nodiscard]] std::shared_ptr<apache::thrift::TProcessor> GuardProcessor(
  std::shared_ptr<apache::thrift::TProcessor> processor);

/// @brief Returns whether @p error was caused by the content of a message.
[[nodiscard]] bool IsMalformedMessage(const apache::thrift::TException& error);

} // namespace acp::detail
