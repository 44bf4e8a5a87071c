/// @file
/// acpctl: the operators' command line.

#include <csignal>   // signal
#include <cstdint>   // INT64_MAX
#include <exception> // exception

#include <fmt/format.h> // print

#include "acaciapulley/transport/settings.hpp" // Settings
#include "commands.hpp"                        // RunCommand

int main(int argc, char** argv)
{
  acp::Settings settings("acpctl", ACP_VERSION, "The operators' command line.");
  settings.AllowArguments(acp::kCommandsHelp);
  settings.AddAddresses(
    "control", "operator addresses of the control replicas, tried in turn", "127.0.0.1:7310");
  settings.AddText("operator-key-file", "file with the operator key", "operator.key");
  settings.AddText("if-version", "version that was edited; 0 for a new document", "");
  settings.AddText("request-id", "8 to 64 of A-Z a-z 0-9 - _; new for each change if empty", "");
  settings.AddText("against", "fleet check: file with the document to compare with", "");
  settings.AddSwitch("json", "print answers as JSON");
  settings.AddSwitch("follow", "audit: print new entries until interrupted");
  settings.AddInteger("from", "audit: first number; 0 for the latest entries", 0, 0, INT64_MAX);
  settings.ParseOrExit(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return static_cast<int>(acp::RunCommand(settings));
  } catch (const std::exception& e) {
    fmt::print(stderr, "acpctl: {}\nnext: see acpctl --help\n", e.what());
    return static_cast<int>(acp::ExitCode::Usage);
  }
}
