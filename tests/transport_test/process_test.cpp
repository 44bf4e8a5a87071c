#include <array>   // array
#include <csignal> // sigaddset
#include <string>  // string
#include <thread>  // thread

#include <fcntl.h>    // fcntl
#include <poll.h>     // poll
#include <sys/wait.h> // waitpid
#include <unistd.h>   // fork, pipe

#include <boost/test/unit_test.hpp>

#include "acaciapulley/core/log.hpp"
#include "acaciapulley/transport/process.hpp"

namespace {

constexpr int kEndTimeoutMs = 20'000;
constexpr int kPollIntervalMs = 10;

struct EndedChild
{
  bool hasEnded = false;
  int status = 0;
  std::string output;
};

std::string ReadAll(int handle)
{
  std::string text;
  std::array<char, 4096> part{};
  for (ssize_t count = 0; (count = ::read(handle, part.data(), part.size())) > 0;) {
    text.append(part.data(), static_cast<std::size_t>(count));
  }
  return text;
}

/// Runs @p body in a child process whose standard error and output go to a pipe.
/// @param fillPipe whether the pipe has no room for a line
EndedChild RunChild(const std::function<void()>& body, bool fillPipe = false)
{
  std::array<int, 2> ends{};
  BOOST_REQUIRE(::pipe(ends.data()) == 0);
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(ends[1], STDERR_FILENO);
    ::dup2(ends[1], STDOUT_FILENO);
    if (fillPipe) {
      ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
      while (::write(ends[1], "x", 1) == 1) {
      }
      ::fcntl(ends[1], F_SETFL, 0);
    }
    acp::PrepareProcess();
    body();
    ::_exit(0);
  }
  ::close(ends[1]);
  EndedChild ended;
  for (int waited = 0; !ended.hasEnded && waited < kEndTimeoutMs; waited += kPollIntervalMs) {
    ::poll(nullptr, 0, kPollIntervalMs);
    ended.hasEnded = ::waitpid(child, &ended.status, WNOHANG) == child;
  }
  if (!ended.hasEnded) {
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
  }
  ended.output = ReadAll(ends[0]);
  ::close(ends[0]);
  return ended;
}

void RequireFailed(const EndedChild& child)
{
  BOOST_REQUIRE(child.hasEnded);
  BOOST_TEST(WIFEXITED(child.status));
  BOOST_TEST(WEXITSTATUS(child.status) == 1);
}

} // namespace

BOOST_AUTO_TEST_SUITE(process)

// Guards against a process that stays when a worker fails while main() waits for a signal.
BOOST_AUTO_TEST_CASE(failure_on_a_worker_ends_the_process)
{
  const auto child = RunChild([] {
    std::thread([] { acp::EndFailedProcess("control_failed", "no room on the disk"); }).detach();
    acp::WaitForStopSignal();
  });
  RequireFailed(child);
  BOOST_TEST(child.output.ends_with("level=error event=control_failed error=\"no room on the "
                                    "disk\"\n"));
}

// Guards against a failed process that waits for a thread that hangs or for a reader of its log.
BOOST_AUTO_TEST_CASE(failure_ends_the_process_while_a_thread_hangs_and_the_log_is_full)
{
  for (const auto output : { acp::LogOutput::StandardError, acp::LogOutput::StandardOutput }) {
    const auto child = RunChild(
      [output] {
        acp::SetLogOutput(output);
        std::thread([] { acp::Log(acp::LogLevel::Info, "fills the log", {}); }).detach();
        std::thread hanging([] { ::pause(); });
        std::thread([] { acp::EndFailedProcess("control_failed", "no room"); }).detach();
        hanging.join();
      },
      true);
    RequireFailed(child);
  }
}

// Guards against an exception on a worker that ends the process without a line that names it.
BOOST_AUTO_TEST_CASE(uncaught_exception_on_a_worker_ends_the_process_with_its_text)
{
  const auto child = RunChild([] {
    std::thread([] { throw std::runtime_error("no more threads"); }).detach();
    acp::WaitForStopSignal();
  });
  RequireFailed(child);
  BOOST_TEST(child.output.ends_with("event=process_failed error=\"uncaught exception: no more "
                                    "threads\"\n"));
}

// Guards against a log without a reader that ends the process or a thread's work.
BOOST_AUTO_TEST_CASE(log_line_that_cannot_be_written_is_dropped)
{
  const auto child = RunChild([] {
    ::close(STDERR_FILENO);
    acp::Log(acp::LogLevel::Info, "not_written", {});
  });
  BOOST_REQUIRE(child.hasEnded);
  BOOST_TEST(child.status == 0);
}

// Guards against a process that a limit of file sizes ends without a line.
BOOST_AUTO_TEST_CASE(signals_of_failed_writes_are_ignored)
{
  const auto child = RunChild([] {
    ::raise(SIGXFSZ);
    ::raise(SIGPIPE);
  });
  BOOST_REQUIRE(child.hasEnded);
  BOOST_TEST(child.status == 0);
}

BOOST_AUTO_TEST_SUITE_END()
