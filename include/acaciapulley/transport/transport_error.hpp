#pragma once

/// @file
/// Error codes of the transport module, 1100 to 1199.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Errors of settings and of communication between processes.
enum class TransportErrorCode
{
  InvalidAddress = 1100, ///< not of the form ip:port
  InvalidSetting = 1101, ///< a flag or environment variable is missing, unknown or invalid
  Unreachable = 1102,    ///< no connection; nothing was sent
  ConnectionLost = 1103, ///< the connection ended after bytes were sent
  Timeout = 1104,        ///< no response or reply in time after bytes were sent
  Truncated = 1105,      ///< the response ended before the end that its framing declares
  NotLeader = 1106,      ///< no reachable control replica is the leader
  Refused = 1107,        ///< control refused the call; the message contains its error
  ListenFailed = 1108,   ///< a listener could not be opened
  Cancelled = 1109,      ///< the caller disconnected after bytes were sent
  BodyTooLarge = 1110,   ///< the request body is larger than allowed; nothing was sent
  Abandoned = 1111,      ///< the caller disconnected; nothing was sent
  Withheld = 1112,       ///< SendOptions::maySend returned false; nothing was sent
};

template<>
struct NameTable<TransportErrorCode>
{
  static constexpr std::array<EnumName<TransportErrorCode>, 13> kRows = { {
    { TransportErrorCode::InvalidAddress, "invalid_address" },
    { TransportErrorCode::InvalidSetting, "invalid_setting" },
    { TransportErrorCode::Unreachable, "unreachable" },
    { TransportErrorCode::ConnectionLost, "connection_lost" },
    { TransportErrorCode::Timeout, "timeout" },
    { TransportErrorCode::Truncated, "truncated" },
    { TransportErrorCode::NotLeader, "not_leader" },
    { TransportErrorCode::Refused, "refused" },
    { TransportErrorCode::ListenFailed, "listen_failed" },
    { TransportErrorCode::Cancelled, "cancelled" },
    { TransportErrorCode::BodyTooLarge, "body_too_large" },
    { TransportErrorCode::Abandoned, "abandoned" },
    { TransportErrorCode::Withheld, "withheld" },
  } };
};

using TransportError = BasicError<TransportErrorCode>;

/// @brief Returns whether no byte of the request was sent.
[[nodiscard]] constexpr bool SentNothing(TransportErrorCode code)
{
  return code == TransportErrorCode::Unreachable || code == TransportErrorCode::BodyTooLarge ||
         code == TransportErrorCode::Abandoned || code == TransportErrorCode::Withheld;
}

template<typename T>
using TransportResult = Result<T, TransportError>;

} // namespace acp
