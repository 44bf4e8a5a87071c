#pragma once

/// @file
/// Error codes of the control module, 900 to 999.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Reasons for which control refuses a call.
enum class ControlErrorCode
{
  InvalidDocument = 900,    ///< the document fails validation
  VersionConflict = 901,    ///< the document was changed since the version that the operator edited
  KeyRefused = 902,         ///< the key already exists, or is not active
  RequestIdReused = 903,    ///< the request id was already used for a different change
  TooManyRequests = 904,    ///< the limit of request ids per day is reached
  TooManyKeys = 905,        ///< the client account or the fleet has reached its limit of keys
  InvalidCommand = 906,     ///< a log entry could not be decoded
  NotLeader = 907,          ///< this replica is not the leader; nothing was changed
  Unconfirmed = 908,        ///< the change may or may not be applied; resend it with the same id
  Unavailable = 909,        ///< the replica is stopping, or its disk failed
  InvalidRequest = 910,     ///< a field of the request is missing or out of range
  TooManyServices = 911,    ///< the limit of services with a document is reached
  UnsupportedCall = 912,    ///< this control process does not implement the call
  InvalidOperators = 913,   ///< the operator key file is malformed
  ReplaceRefused = 914,     ///< the replica set does not allow this replacement at present
  TooManyEvacuations = 915, ///< the limit of evacuated data centres is reached
};

template<>
struct NameTable<ControlErrorCode>
{
  static constexpr std::array<EnumName<ControlErrorCode>, 16> kRows = { {
    { ControlErrorCode::InvalidDocument, "invalid_document" },
    { ControlErrorCode::VersionConflict, "version_conflict" },
    { ControlErrorCode::KeyRefused, "key_refused" },
    { ControlErrorCode::RequestIdReused, "request_id_reused" },
    { ControlErrorCode::TooManyRequests, "too_many_requests" },
    { ControlErrorCode::TooManyKeys, "too_many_keys" },
    { ControlErrorCode::InvalidCommand, "invalid_command" },
    { ControlErrorCode::NotLeader, "not_leader" },
    { ControlErrorCode::Unconfirmed, "unconfirmed" },
    { ControlErrorCode::Unavailable, "unavailable" },
    { ControlErrorCode::InvalidRequest, "invalid_request" },
    { ControlErrorCode::TooManyServices, "too_many_services" },
    { ControlErrorCode::UnsupportedCall, "unsupported_call" },
    { ControlErrorCode::InvalidOperators, "invalid_operators" },
    { ControlErrorCode::ReplaceRefused, "replace_refused" },
    { ControlErrorCode::TooManyEvacuations, "too_many_evacuations" },
  } };
};

using ControlError = BasicError<ControlErrorCode>;

template<typename T>
using ControlResult = Result<T, ControlError>;

} // namespace acp
