#pragma once

/// @file
/// Encoding and decoding of Thrift structs in the compact protocol.

#include <cstdint> // uint8_t, uint32_t
#include <limits>  // numeric_limits
#include <memory>  // make_shared
#include <string>  // string

#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "acaciapulley/transport/detail/thrift_limits.hpp" // BoundedCompactProtocol

namespace acp::detail {

/// @brief Encodes @p message.
template<typename Message>
std::string EncodeWire(const Message& message)
{
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

/// @brief Decodes @p bytes into @p message.
/// @return false if @p bytes is not exactly one message of this type
template<typename Message>
bool DecodeWire(const std::string& bytes, Message* message)
{
  using apache::thrift::transport::TMemoryBuffer;
  try {
    std::string copy = bytes;
    // Snapshots may be larger than frames.
    const auto configuration = std::make_shared<apache::thrift::TConfiguration>(
      std::numeric_limits<int>::max(), kMaxThriftFrameBytes, kMaxThriftDepth);
    auto buffer = std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t*>(copy.data()),
                                                  static_cast<std::uint32_t>(copy.size()),
                                                  TMemoryBuffer::OBSERVE,
                                                  configuration);
    BoundedCompactProtocol protocol(buffer);
    message->read(&protocol);
    return buffer->available_read() == 0;
  } catch (const apache::thrift::TException&) {
    return false;
  }
}

} // namespace acp::detail
