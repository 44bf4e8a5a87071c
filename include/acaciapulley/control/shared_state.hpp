#pragma once

/// @file
/// The state of one control process, shared by its servers under one lock.

#include <mutex> // mutex

#include "acaciapulley/control/control_state.hpp"   // ControlState
#include "acaciapulley/control/member_registry.hpp" // MemberRegistry

namespace acp {

/// Take the mutex before touching the rest.
struct SharedState
{
  std::mutex mutex;
  ControlState control;
  MemberRegistry members;
};

} // namespace acp
