#pragma once

/// @file
/// Errors of the module control, numbers 900 to 999.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Why control refused a call.
enum class ControlErrorCode
{
  InvalidDocument = 900,  ///< the document does not pass its checks
  VersionConflict = 901,  ///< another operator's change came first
  KeyRefused = 902,       ///< the key exists already or is not in force
  RequestIdReused = 903,  ///< the operator's request id was used for another change
  TooManyRequests = 904,  ///< as many request ids as are kept were used within a day
  TooManyKeys = 905,      ///< the client account or the fleet has as many keys as are kept
  InvalidCommand = 906,   ///< an entry of the log cannot be read
  NotLeader = 907,        ///< another replica leads, or none; nothing was changed
  Unconfirmed = 908,      ///< the change may or may not come into force; resend with the same id
  Unavailable = 909,      ///< the replica is stopping or its disk failed
  InvalidRequest = 910,   ///< a field of the request is missing or out of range
  TooManyServices = 911,  ///< as many services as are kept have a document
  UnsupportedCall = 912,  ///< this control process has no part that answers the call
  InvalidOperators = 913, ///< the operator key file cannot be read
  ReplaceRefused = 914,   ///< the replica set cannot be changed like this now
};

template<>
struct NameTable<ControlErrorCode>
{
  static constexpr std::array<EnumName<ControlErrorCode>, 15> kRows = { {
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
  } };
};

using ControlError = BasicError<ControlErrorCode>;

template<typename T>
using ControlResult = Result<T, ControlError>;

} // namespace acp
