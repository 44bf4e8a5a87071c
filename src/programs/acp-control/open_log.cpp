#include "open_log.hpp"

#include <stdexcept> // runtime_error

namespace acp {

void AddLogSettings(Settings& /*settings*/) {}

std::unique_ptr<ReplicatedLog> OpenLog(const Settings& /*settings*/, ControlState& /*state*/)
{
  throw std::runtime_error("this build has no replicated log");
}

} // namespace acp
