/// @file
/// acp-load: sends a bounded number of requests and prints the results.

#include <exception> // exception

#include <fmt/format.h> // print

#include "acaciapulley/transport/process.hpp"  // PrepareProcess
#include "acaciapulley/transport/settings.hpp" // Settings
#include "load_options.hpp"
#include "load_run.hpp"

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitMismatched = 3;

int Run(const acp::Settings& settings)
{
  LoadOptions options = LoadOptions::Read(settings);
  const bool printJson = options.printJson;
  LoadRun run(std::move(options));
  run.Run();
  auto& results = run.Stats();
  fmt::print("{}", printJson ? results.ToJson(run.Elapsed()) : results.ToText(run.Elapsed()));
  return results.MismatchedCount() == 0 ? 0 : kExitMismatched;
}

} // namespace

int main(int argc, char** argv)
{
  acp::PrepareProcess();
  acp::Settings settings(
    "acp-load",
    ACP_VERSION,
    "Sends requests and prints the results. Exits with 3 when a response did not "
    "belong to its request.");
  LoadOptions::Declare(settings);
  settings.ParseOrExit(argc, argv);
  try {
    return Run(settings);
  } catch (const std::exception& e) {
    fmt::print(stderr, "acp-load: {}\n", e.what());
    return kExitFailed;
  }
}
