#include "acaciapulley/transport/process.hpp"

#include "acaciapulley/core/log.hpp" // Log
#include <csignal>                   // sigset_t, sigwait
#include <fstream>                   // ifstream
#include <sstream>                   // ostringstream
#include <stdexcept>                 // runtime_error

namespace acp {

namespace {

sigset_t StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

} // namespace

void BlockStopSignals()
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal(const std::function<void()>& onReload)
{
  const sigset_t signals = StopSignals();
  int received = 0;
  while (sigwait(&signals, &received) == 0 && received == SIGHUP) {
    Log(LogLevel::Info, "reload_requested", { { "signal", "SIGHUP" } });
    if (onReload) {
      onReload();
    }
  }
}

std::string ReadFile(const std::string& path)
{
  const std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw std::runtime_error("cannot read the file '" + path + "'");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string TrimRight(std::string text)
{
  text.erase(text.find_last_not_of(" \t\r\n") + 1);
  return text;
}

} // namespace acp
