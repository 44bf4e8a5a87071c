#include "acaciapulley/transport/process.hpp"

#include <chrono>    // seconds
#include <csignal>   // sigset_t, sigwait
#include <cstdlib>   // EXIT_FAILURE
#include <exception> // current_exception, set_terminate
#include <fstream>   // ifstream
#include <future>    // promise
#include <memory>    // make_shared
#include <sstream>   // ostringstream
#include <stdexcept> // runtime_error
#include <thread>    // thread

#include <unistd.h> // _exit

#include "acaciapulley/core/log.hpp" // Log

namespace acp {

namespace {

/// For the last log line of a failed process.
constexpr std::chrono::seconds kLastLineTimeout{ 1 };

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
  try {
    // A reader that has stopped reading must not keep the process alive.
    const auto written = std::make_shared<std::promise<void>>();
    std::thread([written, event = std::string(event), error] {
      Log(LogLevel::Error, event, { { "error", error } });
      written->set_value();
    }).detach();
    written->get_future().wait_for(kLastLineTimeout);
  } catch (const std::exception&) { // NOLINT(bugprone-empty-catch)
    // There is no thread or memory for the line.
  }
  ::_exit(EXIT_FAILURE);
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
