#include "load_options.hpp"

#include <filesystem> // path
#include <stdexcept>  // runtime_error

#include "acaciapulley/transport/process.hpp" // ReadFile, TrimRight

namespace {

std::vector<LoadAccount> ReadAccounts(const std::string& files)
{
  std::vector<LoadAccount> accounts;
  std::size_t start = 0;
  while (start < files.size()) {
    const std::size_t end = std::min(files.find(',', start), files.size());
    const std::filesystem::path path = files.substr(start, end - start);
    accounts.push_back(
      { .name = path.stem().string(), .key = acp::TrimRight(acp::ReadFile(path.string())) });
    start = end + 1;
  }
  if (accounts.empty()) {
    accounts.push_back({ .name = "none", .key = "" });
  }
  return accounts;
}

} // namespace

void LoadOptions::Declare(acp::Settings& settings)
{
  settings.AddAddresses(
    "target", "ingresses or upstreams, used in turn, comma-separated", acp::Settings::kRequired);
  settings.AddText("path", "path of the requests", acp::Settings::kRequired);
  settings.AddText("method", "HTTP method", "GET");
  settings.AddText("key-file",
                   "files with client accounts' keys, used in turn, comma-separated; the file's "
                   "name is the account's in the tables",
                   "");
  settings.AddInteger("body-bytes", "size of the requests' bodies", 0, 0, 100'000'000);
  settings.AddInteger("requests", "number of requests; 0 for no bound", 1, 0, 10'000'000);
  settings.AddInteger("duration-ms", "maximum time of sending; 0 for no bound", 0, 0, 3'600'000);
  settings.AddInteger("connections", "concurrent requests", 1, 1, 1000);
  settings.AddInteger(
    "rate", "requests a second; 0 sends the next when the last is answered", 0, 0, 100'000);
  settings.AddInteger(
    "retries", "resends after a refusal or a failure, with the same key", 0, 0, 100);
  settings.AddInteger("retry-pause-ms", "pause before a retry", 0, 0, 60'000);
  settings.AddInteger(
    "resends", "times each request is sent again with its idempotency key", 0, 0, 100);
  settings.AddInteger("timeout-ms", "maximum wait for a response", 30'000, 1, 600'000);
  settings.AddInteger("deadline-ms", "value of Acp-Deadline-Ms; 0 for none", 0, 0, 600'000);
  settings.AddSwitch("print-body", "print the body of the first response");
  settings.AddSwitch("json", "print one JSON object instead of tables");
}

LoadOptions LoadOptions::Read(const acp::Settings& settings)
{
  const auto millis = [&settings](const char* name) {
    return std::chrono::milliseconds(settings.GetInteger(name));
  };
  LoadOptions options;
  options.targets = settings.GetAddresses("target");
  options.accounts = ReadAccounts(settings.GetText("key-file"));
  options.path = settings.GetText("path");
  options.method = settings.GetText("method");
  options.body.assign(static_cast<std::size_t>(settings.GetInteger("body-bytes")), 'b');
  options.requests = settings.GetInteger("requests");
  options.duration = millis("duration-ms");
  options.connections = settings.GetInteger("connections");
  options.rate = settings.GetInteger("rate");
  options.retries = settings.GetInteger("retries");
  options.retryPause = millis("retry-pause-ms");
  options.resends = settings.GetInteger("resends");
  options.timeout = millis("timeout-ms");
  options.deadlineMs = settings.GetInteger("deadline-ms");
  options.printBody = settings.GetSwitch("print-body");
  options.printJson = settings.GetSwitch("json");
  if (options.requests == 0 && options.duration.count() == 0) {
    throw std::runtime_error("one of --requests and --duration-ms must not be 0");
  }
  return options;
}
