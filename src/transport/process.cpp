#include "acaciapulley/transport/process.hpp"

#include <chrono>    // milliseconds
#include <csignal>   // sigset_t, sigwait
#include <cstdlib>   // EXIT_FAILURE, EXIT_SUCCESS
#include <exception> // current_exception, set_terminate
#include <fstream>   // ifstream
#include <sstream>   // ostringstream
#include <stdexcept> // runtime_error

#include <malloc.h> // mallopt
#include <unistd.h> // alarm, _exit

#include "acaciapulley/core/log.hpp" // Log, LogLastLine

namespace acp {

namespace {

/// For a reader of the log, before the last line of a failed process.
constexpr std::chrono::milliseconds kLastLineTimeout{ 1'000 };
constexpr unsigned int kLastLineGuardSeconds = 2;
/// By default each of many threads gets an arena of its own, which keeps the most that the thread
/// has ever used.
constexpr int kMaxArenas = 2;

std::string DescribeCurrentException()
{
  const auto exception = std::current_exception();
  if (!exception) {
    return "terminated without an exception";
  }
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& e) {
    return std::string("uncaught exception: ") + e.what();
  } catch (...) {
    return "uncaught exception of an unknown type";
  }
}

[[noreturn]] void EndAfterUncaughtException()
{
  EndFailedProcess("process_failed", DescribeCurrentException());
}

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

void PrepareProcess()
{
  ::mallopt(M_ARENA_MAX, kMaxArenas);
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
  std::set_terminate(EndAfterUncaughtException);
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

void EndFailedProcess(std::string_view event, const std::string& error) noexcept
{
  // Another thread may fill the log between the wait for room and the write.
  ::alarm(kLastLineGuardSeconds);
  LogLastLine(LogLevel::Error, event, { { "error", error } }, kLastLineTimeout);
  ::_exit(EXIT_FAILURE);
}

void EndStoppedProcess() noexcept
{
  ::_exit(EXIT_SUCCESS);
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
