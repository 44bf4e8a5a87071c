#include "acaciapulley/transport/detail/thrift_limits.hpp"

#include <algorithm> // clamp, max, min
#include <array>     // array
#include <atomic>    // atomic
#include <cstring>   // memcpy
#include <limits>    // numeric_limits
#include <utility>   // move

#include "acaciapulley/core/log.hpp" // Log

namespace acp::detail {

namespace {

using apache::thrift::TException;
using apache::thrift::TProcessor;
using apache::thrift::protocol::TProtocol;
using apache::thrift::protocol::TProtocolException;
using apache::thrift::transport::TSocket;
using apache::thrift::transport::TTransport;
using apache::thrift::transport::TTransportException;

constexpr std::uint32_t kFirstBufferBytes = 16U << 10U;
// Larger buffers are freed after each message.
constexpr std::uint32_t kMaxIdleBufferBytes = 32U << 10U;

std::atomic<std::uint64_t> usedBytes{ 0 };

int MillisUntil(TimePoint deadline)
{
  const auto left =
    std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
  return static_cast<int>(
    std::clamp<std::int64_t>(left.count(), 0, std::numeric_limits<int>::max()));
}

class GuardedProcessor final : public TProcessor
{
public:
  explicit GuardedProcessor(std::shared_ptr<TProcessor> inner)
    : inner_(std::move(inner))
  {
  }

  bool process(std::shared_ptr<TProtocol> in,
               std::shared_ptr<TProtocol> out,
               void* context) override
  {
    auto* transport = dynamic_cast<BoundedFramedTransport*>(in->getTransport().get());
    std::string error;
    try {
      const bool isOpen = inner_->process(in, out, context);
      if (transport != nullptr) {
        transport->ReleaseMemory();
      }
      return isOpen;
    } catch (const TException& e) {
      if (!IsMalformedMessage(e)) {
        throw;
      }
      error = e.what();
    } catch (const std::exception& e) {
      error = e.what();
    }
    Log(
      LogLevel::Warning,
      "thrift_request_refused",
      { { "peer", transport != nullptr ? transport->PeerName() : "unknown" }, { "error", error } });
    return false; // closes the connection
  }

private:
  std::shared_ptr<TProcessor> inner_;
};

} // namespace

std::shared_ptr<apache::thrift::TConfiguration> MakeThriftConfiguration()
{
  return std::make_shared<apache::thrift::TConfiguration>(
    kMaxThriftFrameBytes, kMaxThriftFrameBytes, kMaxThriftDepth);
}

ThriftMemoryShare::~ThriftMemoryShare()
{
  usedBytes -= charged_;
}

void ThriftMemoryShare::Resize(std::uint64_t bytes)
{
  const std::uint64_t charge = bytes > kFreeThriftBytes ? bytes - kFreeThriftBytes : 0;
  if (charge > charged_) {
    const std::uint64_t added = charge - charged_;
    if (usedBytes.fetch_add(added) + added > kMaxThriftMemoryBytes) {
      usedBytes -= added;
      throw TTransportException(TTransportException::INTERNAL_ERROR,
                                "the memory for messages is used up");
    }
  } else {
    usedBytes -= charged_ - charge;
  }
  charged_ = charge;
}

BoundedFramedTransport::BoundedFramedTransport(const std::shared_ptr<TTransport>& transport,
                                               std::optional<Duration> replyTimeout)
  : TFramedTransport(transport, DEFAULT_BUFFER_SIZE, kMaxIdleBufferBytes, MakeThriftConfiguration())
  , socket_(std::dynamic_pointer_cast<TSocket>(transport))
  , replyTimeout_(replyTimeout)
{
}

void BoundedFramedTransport::flush()
{
  TFramedTransport::flush();
  if (replyTimeout_) {
    deadline_ = std::chrono::steady_clock::now() + *replyTimeout_;
  }
}

std::uint32_t BoundedFramedTransport::readEnd()
{
  const std::uint32_t bytesRead = TFramedTransport::readEnd();
  setReadBuffer(rBuf_.get(), 0);
  isInMessage_ = false;
  if (replyTimeout_) {
    ReleaseMemory();
  }
  return bytesRead;
}

void BoundedFramedTransport::ReleaseMemory()
{
  elements_ = 0;
  ResizeShare();
}

void BoundedFramedTransport::CountElements(std::uint64_t count)
{
  elements_ += count;
  if (elements_ > kMaxThriftElements) {
    throw TTransportException(TTransportException::CORRUPTED_DATA,
                              "the message has too many elements");
  }
  ResizeShare();
}

std::string BoundedFramedTransport::PeerName() const
{
  return socket_ ? socket_->getPeerAddress() + ":" + std::to_string(socket_->getPeerPort())
                 : "unknown";
}

bool BoundedFramedTransport::readFrame()
{
  if (isInMessage_) {
    throw TTransportException(TTransportException::CORRUPTED_DATA,
                              "the message is longer than its frame");
  }
  const auto size = ReadFrameSize();
  if (!size) {
    return false;
  }
  if (*size > static_cast<std::uint32_t>(kMaxThriftFrameBytes)) {
    throw TTransportException(TTransportException::CORRUPTED_DATA,
                              "a frame of " + std::to_string(*size) + " bytes exceeds the limit");
  }
  ReadContent(*size);
  if (!replyTimeout_ && socket_) {
    deadline_.reset();
    socket_->setRecvTimeout(0);
  }
  isInMessage_ = true;
  resetConsumedMessageSize();
  resetConsumedMessageSize(*size);
  setReadBuffer(rBuf_.get(), *size);
  return true;
}

std::uint32_t BoundedFramedTransport::ReadSome(std::uint8_t* buffer, std::uint32_t size)
{
  if (deadline_ && socket_) {
    const int left = MillisUntil(*deadline_);
    if (left == 0) {
      throw TTransportException(TTransportException::TIMED_OUT, "a frame was not complete in time");
    }
    socket_->setRecvTimeout(left);
  }
  return transport_->read(buffer, size);
}

std::optional<std::uint32_t> BoundedFramedTransport::ReadFrameSize()
{
  std::array<std::uint8_t, 4> bytes{};
  std::uint32_t received = 0;
  while (received < bytes.size()) {
    const std::uint32_t count =
      ReadSome(bytes.data() + received, static_cast<std::uint32_t>(bytes.size()) - received);
    if (count == 0 && received == 0) {
      return std::nullopt;
    }
    if (count == 0) {
      throw TTransportException(TTransportException::END_OF_FILE,
                                "the connection ended within a frame");
    }
    received += count;
    if (!deadline_) {
      deadline_ = std::chrono::steady_clock::now() + kThriftFrameTimeout;
    }
  }
  return (std::uint32_t{ bytes[0] } << 24U) | (std::uint32_t{ bytes[1] } << 16U) |
         (std::uint32_t{ bytes[2] } << 8U) | bytes[3];
}

void BoundedFramedTransport::ReadContent(std::uint32_t size)
{
  std::uint32_t received = 0;
  while (received < size) {
    if (received == rBufSize_) {
      // The buffer grows with the bytes received, so that an announced size alone takes no memory.
      GrowBuffer(std::min(size, std::max(kFirstBufferBytes, 4 * rBufSize_)));
    }
    const std::uint32_t count =
      ReadSome(rBuf_.get() + received, std::min(size, rBufSize_) - received);
    if (count == 0) {
      throw TTransportException(TTransportException::END_OF_FILE,
                                "the connection ended within a frame");
    }
    received += count;
  }
}

void BoundedFramedTransport::GrowBuffer(std::uint32_t size)
{
  const std::uint32_t oldSize = rBufSize_;
  rBufSize_ = size;
  try {
    ResizeShare();
    boost::scoped_array<std::uint8_t> larger(new std::uint8_t[size]);
    if (oldSize > 0) {
      std::memcpy(larger.get(), rBuf_.get(), oldSize);
    }
    rBuf_.swap(larger);
  } catch (...) {
    rBufSize_ = oldSize;
    throw;
  }
}

BoundedCompactProtocol::BoundedCompactProtocol(const std::shared_ptr<TTransport>& transport)
  : TVirtualProtocol(transport)
  , framed_(dynamic_cast<BoundedFramedTransport*>(transport.get()))
{
}

std::uint32_t BoundedCompactProtocol::readBinary(std::string& bytes)
{
  std::int32_t size = 0;
  const std::uint32_t prefixSize = readVarint32(size);
  if (size < 0) {
    throw TProtocolException(TProtocolException::NEGATIVE_SIZE);
  }
  bytes.clear();
  const auto length = static_cast<std::uint32_t>(size);
  if (length > 0) {
    std::uint32_t available = length;
    const std::uint8_t* content = trans_->borrow(nullptr, &available);
    if (content == nullptr) {
      throw TProtocolException(TProtocolException::SIZE_LIMIT,
                               "a string is longer than its message");
    }
    bytes.assign(reinterpret_cast<const char*>(content), length);
    trans_->consume(length);
  }
  return prefixSize + length;
}

void BoundedCompactProtocol::checkReadBytesAvailable(apache::thrift::protocol::TSet& set)
{
  CheckElements(static_cast<std::uint32_t>(set.size_));
}

void BoundedCompactProtocol::checkReadBytesAvailable(apache::thrift::protocol::TList& list)
{
  CheckElements(static_cast<std::uint32_t>(list.size_));
}

void BoundedCompactProtocol::checkReadBytesAvailable(apache::thrift::protocol::TMap& map)
{
  CheckElements(2ULL * static_cast<std::uint32_t>(map.size_));
}

// The announced type of the elements is not trusted: generated code does not compare it.
void BoundedCompactProtocol::CheckElements(std::uint64_t count)
{
  std::uint32_t available = 0;
  trans_->borrow(nullptr, &available);
  if (count > available) {
    throw TProtocolException(TProtocolException::SIZE_LIMIT,
                             "a container is longer than its message");
  }
  if (framed_ != nullptr) {
    framed_->CountElements(count);
  }
}

std::shared_ptr<TProtocol> MakeBoundedProtocol(const std::shared_ptr<TSocket>& socket,
                                               Duration timeout)
{
  return std::make_shared<BoundedCompactProtocol>(
    std::make_shared<BoundedFramedTransport>(socket, timeout));
}

std::shared_ptr<TTransport> BoundedTransportFactory::getTransport(
  std::shared_ptr<TTransport> transport)
{
  return std::make_shared<BoundedFramedTransport>(transport, std::nullopt);
}

std::shared_ptr<TProtocol> BoundedProtocolFactory::getProtocol(
  std::shared_ptr<TTransport> transport)
{
  return std::make_shared<BoundedCompactProtocol>(transport);
}

std::shared_ptr<TProcessor> GuardProcessor(std::shared_ptr<TProcessor> processor)
{
  return std::make_shared<GuardedProcessor>(std::move(processor));
}

bool IsMalformedMessage(const TException& error)
{
  const auto* transport = dynamic_cast<const TTransportException*>(&error);
  if (transport == nullptr) {
    return true;
  }
  const auto type = transport->getType();
  return type == TTransportException::CORRUPTED_DATA || type == TTransportException::TIMED_OUT ||
         type == TTransportException::INTERNAL_ERROR;
}

} // namespace acp::detail
