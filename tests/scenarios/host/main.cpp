/// @file
/// Runs one scenario script twice: with its guard enabled, when every check must pass, and with it
/// disabled, when at least one check must fail. Checks that also pass without the guard would not
/// show that the guard has an effect.

#include <cstdlib> // EXIT_FAILURE, EXIT_SUCCESS
#include <string>  // string

#include <fmt/core.h> // print

#include "lua_binding.hpp"

namespace {

struct Interpreter
{
  Interpreter()
    : lua(luaL_newstate())
  {
    luaL_openlibs(lua);
    acp::scenario::Binding::OpenAll(lua);
    const std::string path = std::string("package.path='") + ACP_SCENARIO_LIB + "/?.lua'";
    luaL_dostring(lua, path.c_str());
  }
  Interpreter(const Interpreter&) = delete;
  Interpreter& operator=(const Interpreter&) = delete;
  ~Interpreter() { lua_close(lua); }

  lua_State* lua;
};

/// Result of one run of a script.
struct RunResult
{
  bool isValid = false; ///< the script ran to its end and executed at least one check
  bool hasPassed = false;
};

std::string Text(const Interpreter& interpreter, int index)
{
  const char* text = lua_tostring(interpreter.lua, index);
  return text == nullptr ? "" : text;
}

RunResult Run(const char* script, bool hasGuard)
{
  const Interpreter interpreter;
  lua_State* lua = interpreter.lua;
  luaL_dostring(lua, "scenario = require('scenario')");
  lua_getglobal(lua, "scenario");
  lua_getfield(lua, -1, "run");
  lua_pushstring(lua, script);
  lua_pushboolean(lua, hasGuard ? 1 : 0);
  if (lua_pcall(lua, 2, 3, 0) != LUA_OK) {
    fmt::print("{}: {}\n", script, Text(interpreter, -1));
    return {};
  }
  const auto checks = lua_tointeger(lua, -3);
  const auto failures = lua_tointeger(lua, -2);
  fmt::print("guard {}: {} of {} checks failed{}\n",
             hasGuard ? "on" : "off",
             failures,
             checks,
             failures > 0 ? ", first: " + Text(interpreter, -1) : "");
  return { .isValid = checks > 0, .hasPassed = failures == 0 };
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 2) {
    fmt::print("usage: scenario_host <script.lua>\n");
    return 2;
  }
  const RunResult guarded = Run(argv[1], true);
  const RunResult unguarded = Run(argv[1], false);
  const bool isProven =
    guarded.isValid && guarded.hasPassed && unguarded.isValid && !unguarded.hasPassed;
  fmt::print("{}\n", isProven ? "proven" : "not proven");
  return isProven ? EXIT_SUCCESS : EXIT_FAILURE;
}
