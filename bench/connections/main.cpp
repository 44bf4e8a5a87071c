/// @file
/// Measures threads, memory and processor time that idle and busy connections cost a listener whose
/// handlers run in tasks. The clients run in a separate process.

#include <algorithm> // sort
#include <chrono>    // steady_clock
#include <cstdio>    // fflush
#include <fstream>   // ifstream
#include <string>    // string
#include <vector>    // vector

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>
#include <sys/resource.h> // getrlimit, getrusage, setrlimit
#include <sys/wait.h>     // waitpid
#include <unistd.h>       // _exit, fork, pipe, read, write

#include "acaciapulley/transport/http_server.hpp" // HttpServer

namespace {

constexpr int kMaxConnections = 12'000;
constexpr int kRequestsWhenBusy = 20'000;
const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

struct Usage
{
  long threads = 0;
  long residentKb = 0;
};

Usage ReadUsage()
{
  Usage usage;
  std::ifstream status("/proc/self/status");
  for (std::string word; status >> word;) {
    if (word == "Threads:") {
      status >> usage.threads;
    } else if (word == "VmRSS:") {
      status >> usage.residentKb;
    }
  }
  return usage;
}

double ProcessorSeconds()
{
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(used.ru_utime) + seconds(used.ru_stime);
}

void Exchange(Poco::Net::StreamSocket& socket)
{
  socket.sendBytes(kRequest.data(), static_cast<int>(kRequest.size()));
  std::string response;
  char buffer[1024];
  while (!response.ends_with("ok\n")) {
    const int count = socket.receiveBytes(buffer, sizeof buffer);
    if (count <= 0) {
      ::_exit(1);
    }
    response.append(buffer, static_cast<std::size_t>(count));
  }
}

/// Opens all connections and sends one request over each, then sends requests one after the other
/// over the busy ones in turn. Writes the latency percentiles (p50, p99) in microseconds to @p out.
[[noreturn]] void RunClients(std::uint16_t port, int idle, int busy, int in, int out)
{
  std::vector<Poco::Net::StreamSocket> sockets;
  for (int i = 0; i < idle + busy; ++i) {
    sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1", port));
    Exchange(sockets.back());
  }
  char byte = 0;
  if (::write(out, &byte, 1) != 1 || ::read(in, &byte, 1) != 1) {
    ::_exit(1);
  }
  std::vector<double> latenciesMicros;
  const std::size_t firstBusy = static_cast<std::size_t>(idle);
  for (std::size_t sent = 0; busy > 0 && sent < kRequestsWhenBusy; ++sent) {
    auto& socket = sockets[firstBusy + sent % static_cast<std::size_t>(busy)];
    const auto start = std::chrono::steady_clock::now();
    Exchange(socket);
    const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - start;
    latenciesMicros.push_back(taken.count());
  }
  double percentiles[2] = { 0, 0 };
  if (!latenciesMicros.empty()) {
    std::sort(latenciesMicros.begin(), latenciesMicros.end());
    percentiles[0] = latenciesMicros[latenciesMicros.size() / 2];
    percentiles[1] = latenciesMicros[latenciesMicros.size() * 99 / 100];
  }
  const bool isWritten = ::write(out, percentiles, sizeof percentiles) == sizeof percentiles;
  ::_exit(isWritten ? 0 : 1);
}

struct Pipe
{
  Pipe()
  {
    if (::pipe(ends) != 0) {
      ::_exit(1);
    }
  }
  int ends[2];
};

void Measure(int idle, int busy)
{
  Pipe toClients;
  Pipe fromClients;
  Pipe portOfServer;
  std::fflush(stdout);
  const pid_t clients = ::fork();
  if (clients == 0) {
    std::uint16_t port = 0;
    if (::read(portOfServer.ends[0], &port, sizeof port) != sizeof port) {
      ::_exit(1);
    }
    RunClients(port, idle, busy, toClients.ends[0], fromClients.ends[1]);
  }
  const pid_t measured = ::fork();
  if (measured == 0) {
    acp::HttpServer server(
      { .address = { .ip = "127.0.0.1", .port = 0 },
        .maxConnections = kMaxConnections,
        .handler =
          [](acp::ServerExchange& exchange) { exchange.Respond({ .status = 200 }, "ok\n"); },
        .runsInTasks = true,
        .limits = { .idleTimeout = std::chrono::minutes(10) } });
    const Usage before = ReadUsage();
    const std::uint16_t port = server.Port();
    char byte = 0;
    if (::write(portOfServer.ends[1], &port, sizeof port) != sizeof port ||
        ::read(fromClients.ends[0], &byte, 1) != 1) {
      ::_exit(1);
    }
    const Usage connected = ReadUsage();
    const double start = ProcessorSeconds();
    double percentiles[2] = { 0, 0 };
    if (::write(toClients.ends[1], &byte, 1) != 1 ||
        ::read(fromClients.ends[0], percentiles, sizeof percentiles) != sizeof percentiles) {
      ::_exit(1);
    }
    const double used = ProcessorSeconds() - start;
    fmt::print("{:>6} {:>6} {:>8} {:>9.1f} {:>9.1f} {:>11.1f} {:>7.0f} {:>7.0f}\n",
               idle,
               busy,
               connected.threads,
               static_cast<double>(connected.residentKb) / 1024,
               static_cast<double>(connected.residentKb - before.residentKb) / (idle + busy),
               busy > 0 ? used * 1e6 / kRequestsWhenBusy : 0.0,
               percentiles[0],
               percentiles[1]);
    std::fflush(stdout);
    ::_exit(0);
  }
  ::waitpid(clients, nullptr, 0);
  ::waitpid(measured, nullptr, 0);
}

} // namespace

int main()
{
  rlimit descriptors{};
  ::getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &descriptors);
  fmt::print("  idle   used  threads    MB RSS   KB each  us/request  p50 us  p99 us\n");
  for (const int idle : { 10, 100, 1'000, 10'000 }) {
    Measure(idle, 0);
  }
  for (const int busy : { 10, 100, 500, 2'000 }) {
    Measure(0, busy);
  }
  return 0;
}
