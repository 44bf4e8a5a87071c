#pragma once

/// @file
/// Errors of the module replication, numbers 800 to 899.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Errors of the replicated log.
enum class ReplicationErrorCode
{
  NotLeader = 800,      ///< another replica leads, or none
  Unconfirmed = 801,    ///< the proposal may or may not be committed later
  Stopped = 802,        ///< the replica is stopping
  Corrupt = 803,        ///< stored data fails its checksum; the replica must be replaced
  StorageFailed = 804,  ///< a disk operation failed
  ChangeRefused = 805,  ///< the change of the voter set is not possible now
  InvalidMessage = 806, ///< encoded data cannot be read
  ListenFailed = 807,   ///< cannot listen on the replica's address
  TooLarge = 808,       ///< the command exceeds the maximum size
  Retired = 809,        ///< the identity was replaced; the replica joins under a new one
};

template<>
struct NameTable<ReplicationErrorCode>
{
  static constexpr std::array<EnumName<ReplicationErrorCode>, 10> kRows = { {
    { ReplicationErrorCode::NotLeader, "not_leader" },
    { ReplicationErrorCode::Unconfirmed, "unconfirmed" },
    { ReplicationErrorCode::Stopped, "stopped" },
    { ReplicationErrorCode::Corrupt, "corrupt" },
    { ReplicationErrorCode::StorageFailed, "storage_failed" },
    { ReplicationErrorCode::ChangeRefused, "change_refused" },
    { ReplicationErrorCode::InvalidMessage, "invalid_message" },
    { ReplicationErrorCode::ListenFailed, "listen_failed" },
    { ReplicationErrorCode::TooLarge, "too_large" },
    { ReplicationErrorCode::Retired, "retired" },
  } };
};

using ReplicationError = BasicError<ReplicationErrorCode>;

template<typename T>
using ReplicationResult = Result<T, ReplicationError>;

} // namespace acp
