#include "lua_binding.hpp"

namespace acp::scenario {

namespace {

// Scripts count time from 0. The C++ clock starts later, because the code under test may subtract
// durations from the current time.
constexpr Duration kClockStart = std::chrono::seconds(1000);

Binding*& First()
{
  static Binding* first = nullptr;
  return first;
}

} // namespace

Binding::Binding(const char* name, const luaL_Reg* functions)
  : name_(name)
  , functions_(functions)
  , next_(First())
{
  First() = this;
}

void Binding::OpenAll(lua_State* lua)
{
  for (const Binding* binding = First(); binding != nullptr; binding = binding->next_) {
    lua_newtable(lua);
    luaL_setfuncs(lua, binding->functions_, 0);
    lua_setglobal(lua, binding->name_);
  }
}

TimePoint TimeAt(lua_State* lua, int index)
{
  return TimePoint(kClockStart + DurationAt(lua, index));
}

Duration DurationAt(lua_State* lua, int index)
{
  return FromSeconds(luaL_checknumber(lua, index));
}

double ToSeconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

Duration FromSeconds(double seconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Fields::Fields(lua_State* lua, int index)
  : lua_(lua)
  , index_(lua_absindex(lua, index))
{
  luaL_checktype(lua, index, LUA_TTABLE);
}

double Fields::Number(const char* name, double defaultValue) const
{
  lua_getfield(lua_, index_, name);
  const double value = luaL_optnumber(lua_, -1, defaultValue);
  lua_pop(lua_, 1);
  return value;
}

std::int64_t Fields::Integer(const char* name, std::int64_t defaultValue) const
{
  lua_getfield(lua_, index_, name);
  const std::int64_t value = luaL_optinteger(lua_, -1, defaultValue);
  lua_pop(lua_, 1);
  return value;
}

bool Fields::Boolean(const char* name, bool defaultValue) const
{
  lua_getfield(lua_, index_, name);
  const bool value = lua_isnil(lua_, -1) ? defaultValue : lua_toboolean(lua_, -1) != 0;
  lua_pop(lua_, 1);
  return value;
}

std::string Fields::String(const char* name) const
{
  lua_getfield(lua_, index_, name);
  std::string value = luaL_optstring(lua_, -1, "");
  lua_pop(lua_, 1);
  return value;
}

void SetNumber(lua_State* lua, const char* name, double value)
{
  lua_pushnumber(lua, value);
  lua_setfield(lua, -2, name);
}

void SetInteger(lua_State* lua, const char* name, std::int64_t value)
{
  lua_pushinteger(lua, value);
  lua_setfield(lua, -2, name);
}

void SetString(lua_State* lua, const char* name, const std::string& value)
{
  lua_pushlstring(lua, value.data(), value.size());
  lua_setfield(lua, -2, name);
}

int Failure(lua_State* lua, const std::string& description)
{
  lua_pushnil(lua);
  lua_pushlstring(lua, description.data(), description.size());
  return 2;
}

} // namespace acp::scenario
