/// @file
/// acpctl: the operators' command line.

#include <exception> // exception
#include <string>    // string
#include <vector>    // vector

#include <fmt/format.h> // print

#include "acaciapulley/config/service_document.hpp" // ServiceDocument
#include "acaciapulley/transport/http_client.hpp"   // HttpPool
#include "acaciapulley/transport/process.hpp"       // ReadFile
#include "acaciapulley/transport/settings.hpp"      // Settings

namespace {

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;
constexpr acp::Duration kTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxAnswerBytes = 16'777'216;

constexpr const char* kCommands = "Commands:\n"
                                  "  config check FILE\n"
                                  "  config put FILE --if-version N\n"
                                  "  config get SERVICE\n"
                                  "  key give ACCOUNT\n"
                                  "  key list ACCOUNT\n"
                                  "  key withdraw ACCOUNT KEY-ID\n"
                                  "  members";

/// One call to control.
struct Call
{
  std::string method;
  std::string target;
  std::string body;
};

int Send(const acp::Settings& settings, const Call& call)
{
  const std::string key = acp::TrimRight(acp::ReadFile(settings.GetText("operator-key-file")));
  acp::HttpPool pool({ .address = settings.GetAddress("control") });
  acp::HttpRequestHead head{ .method = call.method, .target = call.target };
  head.headers.Set("Authorization", "Bearer " + key);
  head.headers.Set("If-Version", settings.GetText("if-version"));
  acp::StringBody body(call.body);
  const auto sent = pool.Send(head, body, static_cast<std::int64_t>(call.body.size()), kTimeout);
  if (!sent) {
    fmt::print(stderr, "acpctl: {}\n", sent.error().Describe());
    return kExitUnreachable;
  }
  const auto answer = acp::ReadAll(sent.value()->Body(), kMaxAnswerBytes).value_or("");
  const bool accepted = sent.value()->Response().status < 300;
  fmt::print(accepted ? stdout : stderr, "{}", answer);
  return accepted ? kExitOk : kExitRefused;
}

int CheckFile(const std::string& path)
{
  const auto document = acp::ServiceDocument::Parse(acp::ReadFile(path));
  if (!document) {
    fmt::print(stderr, "{}: {}\n", path, document.error().Describe());
    return kExitRefused;
  }
  fmt::print("{}: service '{}', {} classes, {} accounts\n",
             path,
             document.value().Service(),
             document.value().Classes().size(),
             document.value().Accounts().size());
  return kExitOk;
}

int Run(const acp::Settings& settings)
{
  const auto& words = settings.Arguments();
  const std::string group = words.empty() ? "" : words[0];
  const std::string verb = words.size() > 1 ? words[1] : "";
  const std::string subject = words.size() > 2 ? words[2] : "";
  if (group == "config" && verb == "check" && words.size() == 3) {
    return CheckFile(subject);
  }
  if (group == "config" && verb == "put" && words.size() == 3) {
    return Send(settings, { "PUT", "/v1/services", acp::ReadFile(subject) });
  }
  if (group == "config" && verb == "get" && words.size() == 3) {
    return Send(settings, { "GET", "/v1/services/" + subject, "" });
  }
  if (group == "key" && verb == "give" && words.size() == 3) {
    return Send(settings, { "POST", "/v1/accounts/" + subject + "/keys", "" });
  }
  if (group == "key" && verb == "list" && words.size() == 3) {
    return Send(settings, { "GET", "/v1/accounts/" + subject + "/keys", "" });
  }
  if (group == "key" && verb == "withdraw" && words.size() == 4) {
    return Send(settings, { "DELETE", "/v1/accounts/" + subject + "/keys/" + words[3], "" });
  }
  if (group == "members" && words.size() == 1) {
    return Send(settings, { "GET", "/v1/members", "" });
  }
  fmt::print(stderr, "acpctl: unknown command\n{}\n", kCommands);
  return kExitUsage;
}

} // namespace

int main(int argc, char** argv)
{
  acp::Settings settings("acpctl", ACP_VERSION, "The operators' command line.");
  settings.AllowArguments(kCommands);
  settings.AddAddress("control", "operator address of a control replica", "127.0.0.1:7310");
  settings.AddText("operator-key-file", "file with the operator key", "operator.key");
  settings.AddText("if-version", "version that was edited; 0 for a new document", "0");
  settings.ParseOrExit(argc, argv);
  acp::BlockStopSignals();
  try {
    return Run(settings);
  } catch (const std::exception& e) {
    fmt::print(stderr, "acpctl: {}\n", e.what());
    return kExitUsage;
  }
}
