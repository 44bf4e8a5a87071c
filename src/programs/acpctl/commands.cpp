#include "commands.hpp"

#include <algorithm>   // all_of
#include <cstdio>      // fflush
#include <functional>  // function
#include <sstream>     // ostringstream
#include <string>      // string
#include <string_view> // string_view
#include <thread>      // sleep_for
#include <utility>     // move
#include <vector>      // vector

#include <Poco/Exception.h>
#include <fmt/format.h> // format, print

#include "acaciapulley/config/service_document.hpp" // ServiceDocument
#include "acaciapulley/core/random.hpp"             // RandomHex
#include "acaciapulley/transport/process.hpp"       // ReadFile, TrimRight
#include "control_client.hpp"                       // ControlClient
#include "fleet_check.hpp"                          // RunFleetCheck
#include "tables.hpp"                               // FormatTable

namespace acp {

const char* const kCommandsHelp =
  "Commands:\n"
  "  config check FILE                  check a service document on this host\n"
  "  config put FILE --if-version N     store the next version; N is the version edited, 0 if new\n"
  "  config get SERVICE                 print the current document\n"
  "  config status [SERVICE]            versions, and whether all nodes have confirmed them\n"
  "  config history SERVICE             the last 20 versions\n"
  "  fleet check FILE [--against FILE]  check a fleet document on this host; list what differs\n"
  "  key give ACCOUNT                   issue a key; it is shown once\n"
  "  key list ACCOUNT\n"
  "  key withdraw ACCOUNT KEY-ID        waits until all nodes have confirmed, or 5 s\n"
  "  evacuation list                    evacuated data centres, and whether all nodes know them\n"
  "  evacuation start DATA-CENTRE       send no more requests to its upstreams\n"
  "  evacuation finish DATA-CENTRE      send requests to its upstreams again\n"
  "  members                            nodes and their upstreams\n"
  "  audit [--from N] [--follow]        who changed what\n"
  "  control status                     control replicas\n"
  "  control replace LOST-ID NEW-ID     give a lost replica's vote to one that has caught up\n"
  "  report [text|json|gnuplot] [from=MS] [to=MS]\n"
  "                                     the monthly record; times are Unix milliseconds\n"
  "\n"
  "Exit codes:\n"
  "  0  done\n"
  "  1  refused; nothing was changed\n"
  "  2  wrong use; nothing was sent\n"
  "  3  no control leader answered; nothing was changed\n"
  "  4  unknown: the change may be in force; resend with the same --request-id, which carries it\n"
  "     out at most once";

namespace {

constexpr int kMinRefusalStatus = 300;
constexpr std::size_t kRequestIdBytes = 12;
constexpr Duration kFollowInterval = std::chrono::seconds(1);

using Arguments = std::vector<std::string>;

/// What the commands of one invocation share.
struct Session
{
  const Settings& settings;
  ControlClient& client;
  std::string requestId;

  [[nodiscard]] bool IsJson() const { return settings.GetSwitch("json"); }
};

void PrintRefusal(const std::string& body)
{
  try {
    const auto object = ParseObject(body);
    fmt::print(stderr, "acpctl: {}\n", FieldText(object, "error"));
    fmt::print(stderr, "next: {}\n", FieldText(object, "next"));
  } catch (const Poco::Exception&) {
    fmt::print(stderr, "acpctl: {}\nnext: see the log of acp-control\n", body);
  }
}

/// Sends a request and prints its response with @p print, or unchanged with --json.
ExitCode Send(Session& session,
              const ControlRequest& request,
              const std::function<void(const Poco::JSON::Object::Ptr&)>& print)
{
  const ControlResponse response = session.client.Call(request);
  if (response.result == RequestResult::Unknown) {
    fmt::print(stderr,
               "acpctl: the change may or may not be in force: {}\n"
               "next: repeat the command with --request-id {}\n",
               response.problem,
               request.requestId);
    return ExitCode::Unknown;
  }
  if (response.result == RequestResult::Unreachable) {
    fmt::print(stderr,
               "acpctl: no control leader answered: {}\n"
               "next: acpctl control status --control IP:PORT for each control host\n",
               response.problem);
    return ExitCode::Unreachable;
  }
  const bool isRefused = response.status >= kMinRefusalStatus;
  if (session.IsJson()) {
    fmt::print(isRefused ? stderr : stdout, "{}", response.body);
  } else if (isRefused) {
    PrintRefusal(response.body);
  } else {
    print(ParseObject(response.body));
  }
  return isRefused ? ExitCode::Refused : ExitCode::Ok;
}

ExitCode ShowTable(Session& session,
                   const std::string& target,
                   const std::string& list,
                   const std::vector<Column>& columns)
{
  return Send(session, { .target = target }, [&](const auto& object) {
    fmt::print("{}", FormatTable(columns, object->getArray(list)));
  });
}

ExitCode ConfigCheck(const std::string& path)
{
  const auto document = ServiceDocument::Parse(ReadFile(path));
  if (!document) {
    fmt::print(stderr, "{}: {}\n", path, document.error().Describe());
    fmt::print(stderr, "next: correct the document; docs/operators.md lists fields and ranges\n");
    return ExitCode::Refused;
  }
  fmt::print("{}: service '{}', {} classes, {} accounts\n",
             path,
             document.value().Service(),
             document.value().Classes().size(),
             document.value().Accounts().size());
  return ExitCode::Ok;
}

ExitCode ConfigPut(Session& session, const std::string& path)
{
  const std::string version = session.settings.GetText("if-version");
  if (version.empty()) {
    fmt::print(stderr,
               "acpctl: --if-version is missing\nnext: give the version that config get showed, 0 "
               "for a new document\n");
    return ExitCode::Usage;
  }
  const std::string text = ReadFile(path);
  const auto document = ServiceDocument::Parse(text);
  if (!document) {
    return ConfigCheck(path);
  }
  const std::string service = document.value().Service();
  return Send(session,
              { .method = "PUT",
                .target = "/v1/services/" + service + "/document",
                .body = text,
                .requestId = session.requestId,
                .ifVersion = version },
              [&](const auto& object) {
                fmt::print("{}: version {} is stored; acpctl config status {} shows when it is in "
                           "force everywhere\n",
                           service,
                           FieldText(object, "version"),
                           service);
              });
}

ExitCode ConfigGet(Session& session, const std::string& service)
{
  const std::string target = "/v1/services/" + service + "/document";
  return Send(session, { .target = target }, [&](const auto& object) {
    fmt::print("{}\n", TrimRight(FieldText(object, "document")));
    fmt::print(stderr, "version {}\n", FieldText(object, "version"));
  });
}

ExitCode ConfigStatus(Session& session, const std::string& service)
{
  return Send(session, { .target = "/v1/status" }, [&](const auto& object) {
    Poco::JSON::Array::Ptr shown = new Poco::JSON::Array;
    const auto services = object->getArray("services");
    for (unsigned int i = 0; i < services->size(); ++i) {
      const auto row = services->getObject(i);
      if (service.empty() || FieldText(row, "service") == service) {
        shown->add(row);
      }
    }
    fmt::print("{}",
               FormatTable({ { "SERVICE", "service" },
                             { "VERSION", "version" },
                             { "IN-FORCE", "in_force" },
                             { "CHANGED", "time_ms" },
                             { "BY", "operator" },
                             { "NOT-CONFIRMED", "not_confirmed" },
                             { "NOT-HEARD", "not_heard" } },
                           shown));
  });
}

ExitCode KeyGive(Session& session, const std::string& account)
{
  return Send(session,
              { .method = "POST",
                .target = "/v1/accounts/" + account + "/keys",
                .requestId = session.requestId },
              [](const auto& object) {
                fmt::print("{}",
                           FormatObject({ { "account", "account" },
                                          { "key id", "id" },
                                          { "key (shown only now)", "key" } },
                                        object));
              });
}

ExitCode KeyWithdraw(Session& session, const std::string& account, const std::string& keyId)
{
  return Send(session,
              { .method = "DELETE",
                .target = "/v1/accounts/" + account + "/keys/" + keyId,
                .requestId = session.requestId },
              [&](const auto& object) {
                if (object->template getValue<bool>("confirmed_by_all")) {
                  fmt::print("key {} is withdrawn; all nodes have confirmed\n", keyId);
                  return;
                }
                fmt::print("key {} is withdrawn; the bound of 5 s has passed, so nodes that have "
                           "not confirmed refuse all keys\n"
                           "not confirmed: {}\nnot heard by the new leader: {}\n",
                           keyId,
                           FieldText(object, "not_confirmed"),
                           FieldText(object, "not_heard"));
              });
}

ExitCode EvacuationList(Session& session)
{
  return Send(session, { .target = "/v1/evacuations" }, [](const auto& object) {
    fmt::print("{}",
               FormatObject({ { "evacuated data centres", "data_centres" },
                              { "in force", "in_force" },
                              { "not confirmed", "not_confirmed" },
                              { "not heard", "not_heard" } },
                            object));
  });
}

ExitCode SetEvacuation(Session& session, const std::string& dataCentre, bool evacuated)
{
  return Send(session,
              { .method = evacuated ? "PUT" : "DELETE",
                .target = "/v1/evacuations/" + dataCentre,
                .requestId = session.requestId },
              [&](const auto& object) {
                const bool isResend = object->template getValue<bool>("resend");
                fmt::print("{} is {}{}; acpctl evacuation list shows when all nodes know it\n",
                           dataCentre,
                           isResend ? "already " : "",
                           evacuated ? "evacuated" : "in use");
              });
}

ExitCode Members(Session& session)
{
  return ShowTable(session,
                   "/v1/members",
                   "members",
                   { { "NODE", "node" },
                     { "SERVICE", "service" },
                     { "DATA-CENTRE", "data_centre" },
                     { "PEER", "peer_address" },
                     { "SLOTS", "slots" },
                     { "DRAINING", "draining" },
                     { "CONFIRMED", "confirmed_version" },
                     { "SILENT-MS", "silence_ms" } });
}

const std::vector<Column>& AuditColumns()
{
  static const std::vector<Column> columns = {
    { "NUMBER", "number" }, { "TIME", "time_ms" },      { "OPERATOR", "operator" },
    { "ACTION", "action" }, { "SUBJECT", "subject" },   { "FROM", "from_version" },
    { "TO", "to_version" }, { "REQUEST", "request_id" }
  };
  return columns;
}

/// Without a first number, control returns the latest entries.
std::string AuditTarget(const std::string& from)
{
  return from == "0" ? "/v1/audit" : "/v1/audit?limit=1000&from=" + from;
}

ExitCode FollowAudit(Session& session, std::string from)
{
  while (true) {
    const ControlResponse response = session.client.Call({ .target = AuditTarget(from) });
    if (response.result == RequestResult::Answered && response.status >= kMinRefusalStatus) {
      PrintRefusal(response.body);
      return ExitCode::Refused;
    }
    if (response.result != RequestResult::Answered) {
      fmt::print(stderr, "acpctl: waiting for a control leader: {}\n", response.problem);
      continue;
    }
    const auto answer = ParseObject(response.body);
    const auto entries = answer->getArray("entries");
    if (entries->size() == 0) {
      from = FieldText(answer, "next");
    }
    for (unsigned int i = 0; i < entries->size(); ++i) {
      const auto entry = entries->getObject(i);
      std::ostringstream json;
      entry->stringify(json);
      std::string line;
      for (const auto& column : AuditColumns()) {
        line += line.empty() ? "" : "  ";
        line += FieldText(entry, column.field);
      }
      fmt::print("{}\n", session.IsJson() ? json.str() : line);
      from = std::to_string(entry->getValue<Poco::Int64>("number") + 1);
    }
    if (std::fflush(stdout) != 0) {
      return ExitCode::Ok;
    }
    std::this_thread::sleep_for(kFollowInterval);
  }
}

ExitCode Audit(Session& session)
{
  const std::string from = session.settings.GetText("from");
  if (session.settings.GetSwitch("follow")) {
    return FollowAudit(session, from);
  }
  return ShowTable(session, AuditTarget(from), "entries", AuditColumns());
}

ExitCode ControlStatus(Session& session)
{
  return Send(session, { .target = "/v1/control" }, [](const auto& object) {
    fmt::print("{}\n",
               FormatObject({ { "this replica leads", "leads" },
                              { "leadership confirmed", "confirmed" },
                              { "leader", "leader_id" },
                              { "leader's operator address", "leader_operator_address" },
                              { "term", "term" },
                              { "committed", "commit_index" },
                              { "applied", "applied_index" },
                              { "last", "last_index" },
                              { "replaced replicas", "retired" } },
                            object));
    fmt::print("{}",
               FormatTable({ { "ID", "id" },
                             { "RPC", "rpc_address" },
                             { "OPERATOR", "operator_address" },
                             { "VOTER", "voter" },
                             { "LEADER", "leader" },
                             { "ASKED", "self" },
                             { "MATCH", "match_index" } },
                           object->getArray("replicas")));
    const auto leader = object->template optValue<std::string>("leader_operator_address", "");
    if (!object->template getValue<bool>("leads") && !leader.empty()) {
      fmt::print("replicas without a vote and MATCH are known to the leader only: "
                 "acpctl --control {} control status\n",
                 leader);
    }
  });
}

ExitCode ControlReplace(Session& session, const std::string& lostId, const std::string& newId)
{
  Poco::JSON::Object body;
  body.set("lost", lostId);
  body.set("new", newId);
  std::ostringstream text;
  body.stringify(text);
  return Send(session,
              { .method = "POST",
                .target = "/v1/control/replace",
                .body = text.str(),
                .requestId = session.requestId },
              [&](const auto& /*object*/) {
                fmt::print("{} has the vote of {}, which never votes again\n", newId, lostId);
              });
}

/// `report [text|json|gnuplot] [from=MS] [to=MS]`
ExitCode Report(Session& session, const Arguments& arguments)
{
  std::string format = session.IsJson() ? "json" : "text";
  std::string query;
  for (std::size_t i = 1; i < arguments.size(); ++i) {
    if (arguments[i].find('=') == std::string::npos) {
      format = arguments[i];
    } else {
      query += "&" + arguments[i];
    }
  }
  return Send(session, { .target = "/v1/report?format=" + format + query }, [](const auto& object) {
    if (object->has("text")) {
      fmt::print("{}", object->template getValue<std::string>("text"));
      return;
    }
    std::ostringstream text;
    object->stringify(text, 2);
    fmt::print("{}\n", text.str());
  });
}

/// A command: its name and the number of arguments that it takes.
struct Command
{
  std::string name;
  std::size_t minArguments = 0;
  std::size_t maxArguments = 0;
  std::function<ExitCode(Session& session, const Arguments& arguments)> run;
};

const std::vector<Command>& Commands()
{
  constexpr std::size_t kMaxReportArguments = 8;
  static const std::vector<Command> commands = {
    { "config check", 1, 1, [](Session& /*s*/, const Arguments& w) { return ConfigCheck(w[0]); } },
    { "config put", 1, 1, [](Session& s, const Arguments& w) { return ConfigPut(s, w[0]); } },
    { "config get", 1, 1, [](Session& s, const Arguments& w) { return ConfigGet(s, w[0]); } },
    { "config status",
      0,
      1,
      [](Session& s, const Arguments& w) { return ConfigStatus(s, w.empty() ? "" : w[0]); } },
    { "config history",
      1,
      1,
      [](Session& s, const Arguments& w) {
        return ShowTable(s,
                         "/v1/services/" + w[0] + "/history",
                         "versions",
                         { { "VERSION", "version" }, { "TIME", "time_ms" }, { "BY", "operator" } });
      } },
    { "fleet check",
      1,
      1,
      [](Session& s, const Arguments& w) {
        return RunFleetCheck(w[0], s.settings.GetText("against"));
      } },
    { "key give", 1, 1, [](Session& s, const Arguments& w) { return KeyGive(s, w[0]); } },
    { "key list",
      1,
      1,
      [](Session& s, const Arguments& w) {
        return ShowTable(
          s,
          "/v1/accounts/" + w[0] + "/keys",
          "keys",
          { { "ID", "id" }, { "ACCOUNT", "account" }, { "ISSUED", "issued_at_ms" } });
      } },
    { "key withdraw",
      2,
      2,
      [](Session& s, const Arguments& w) { return KeyWithdraw(s, w[0], w[1]); } },
    { "evacuation list",
      0,
      0,
      [](Session& s, const Arguments& /*w*/) { return EvacuationList(s); } },
    { "evacuation start",
      1,
      1,
      [](Session& s, const Arguments& w) { return SetEvacuation(s, w[0], true); } },
    { "evacuation finish",
      1,
      1,
      [](Session& s, const Arguments& w) { return SetEvacuation(s, w[0], false); } },
    { "members", 0, 0, [](Session& s, const Arguments& /*w*/) { return Members(s); } },
    { "audit", 0, 0, [](Session& s, const Arguments& /*w*/) { return Audit(s); } },
    { "control status", 0, 0, [](Session& s, const Arguments& /*w*/) { return ControlStatus(s); } },
    { "control replace",
      2,
      2,
      [](Session& s, const Arguments& w) { return ControlReplace(s, w[0], w[1]); } },
    { "report",
      0,
      kMaxReportArguments,
      [](Session& s, const Arguments& w) { return Report(s, w); } },
  };
  return commands;
}

/// Finds the command whose name @p arguments begin with, and removes the name from them.
const Command* MatchCommand(Arguments& arguments)
{
  for (const auto& command : Commands()) {
    const std::size_t count = command.name.find(' ') == std::string::npos ? 1 : 2;
    if (arguments.size() < count) {
      continue;
    }
    const std::string name = count == 1 ? arguments[0] : arguments[0] + " " + arguments[1];
    const std::size_t rest = arguments.size() - count;
    if (name == command.name && rest >= command.minArguments && rest <= command.maxArguments) {
      arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(count));
      return &command;
    }
  }
  return nullptr;
}

/// Returns whether @p word can be used in a URL and in a header without escaping.
bool IsUrlSafe(const std::string& word)
{
  static constexpr std::string_view kOthers = "._=:,-";
  for (const char c : word) {
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    if (!isLetter && !(c >= '0' && c <= '9') && kOthers.find(c) == std::string::npos) {
      return false;
    }
  }
  return true;
}

bool AreUrlSafe(const Arguments& arguments)
{
  return std::all_of(arguments.begin(), arguments.end(), IsUrlSafe);
}

} // namespace

ExitCode RunCommand(const Settings& settings)
{
  Arguments arguments = settings.Arguments();
  const Command* command = MatchCommand(arguments);
  if (command == nullptr) {
    fmt::print(stderr, "acpctl: unknown command or wrong number of arguments\n{}\n", kCommandsHelp);
    return ExitCode::Usage;
  }
  const bool isLocal = command->name == "config check" || command->name == "fleet check";
  const bool takesFile = isLocal || command->name == "config put";
  if ((!takesFile && !AreUrlSafe(arguments)) || !IsUrlSafe(settings.GetText("request-id")) ||
      !IsUrlSafe(settings.GetText("if-version"))) {
    fmt::print(stderr,
               "acpctl: a name has a character that no name may have\n"
               "next: use a-z, 0-9, - and _\n");
    return ExitCode::Usage;
  }
  const std::string keyFile = settings.GetText("operator-key-file");
  const SystemClock clock;
  ControlClient client({ .replicas = settings.GetAddresses("control"),
                         .operatorKey = isLocal ? "" : TrimRight(ReadFile(keyFile)),
                         .clock = &clock });
  const std::string requestId = settings.GetText("request-id");
  Session session{ settings, client, requestId.empty() ? RandomHex(kRequestIdBytes) : requestId };
  return command->run(session, arguments);
}

} // namespace acp
