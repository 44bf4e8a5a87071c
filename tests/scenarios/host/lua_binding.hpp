#pragma once

/// @file
/// Helpers for the binding files: registration of libraries, objects with methods, table fields.

#include <cstdint> // int64_t
#include <memory>  // shared_ptr
#include <new>     // placement new
#include <string>  // string
#include <utility> // move

#include <lua.hpp> // lua_State

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp::scenario {

/// Registers a Lua library at program start. Each binding file defines one static object of this
/// type.
class Binding
{
public:
  /// @param name global name of the library in scripts
  /// @param functions functions of the library, terminated by { nullptr, nullptr }
  Binding(const char* name, const luaL_Reg* functions);

  /// @brief Adds all registered libraries to the interpreter @p lua.
  static void OpenAll(lua_State* lua);

private:
  const char* name_;
  const luaL_Reg* functions_;
  Binding* next_;
};

/// C++ objects of type T as Lua userdata; several Lua values may share one object.
template<typename T>
class Object
{
public:
  /// @brief Pushes @p value as an object with @p methods, terminated by { nullptr, nullptr }.
  static int Push(lua_State* lua,
                  const char* type,
                  const luaL_Reg* methods,
                  std::shared_ptr<T> value)
  {
    void* memory = lua_newuserdatauv(lua, sizeof(std::shared_ptr<T>), 0);
    new (memory) std::shared_ptr<T>(std::move(value));
    if (luaL_newmetatable(lua, type) != 0) {
      lua_newtable(lua);
      luaL_setfuncs(lua, methods, 0);
      lua_setfield(lua, -2, "__index");
      lua_pushcfunction(lua, Collect);
      lua_setfield(lua, -2, "__gc");
    }
    lua_setmetatable(lua, -2);
    return 1;
  }

  /// @brief Returns the object at @p index; raises a Lua error if it has another type.
  static const std::shared_ptr<T>& Get(lua_State* lua, int index, const char* type)
  {
    return *static_cast<std::shared_ptr<T>*>(luaL_checkudata(lua, index, type));
  }

private:
  static int Collect(lua_State* lua)
  {
    using Pointer = std::shared_ptr<T>;
    static_cast<Pointer*>(lua_touserdata(lua, 1))->~Pointer();
    return 0;
  }
};

/// @brief Converts a script's time, in seconds since the start, to a TimePoint.
[[nodiscard]] TimePoint TimeAt(lua_State* lua, int index);

/// @brief Converts a script's duration in seconds.
[[nodiscard]] Duration DurationAt(lua_State* lua, int index);

/// @brief Converts @p span to seconds for scripts.
[[nodiscard]] double ToSeconds(Duration span);

/// @brief Converts a duration from seconds.
[[nodiscard]] Duration FromSeconds(double seconds);

/// Reads fields of the Lua table at a stack index; absent fields give the default.
class Fields
{
public:
  Fields(lua_State* lua, int index);

  [[nodiscard]] double Number(const char* name, double defaultValue = 0) const;
  [[nodiscard]] std::int64_t Integer(const char* name, std::int64_t defaultValue = 0) const;
  [[nodiscard]] bool Boolean(const char* name, bool defaultValue) const;
  [[nodiscard]] std::string String(const char* name) const;

private:
  lua_State* lua_;
  int index_;
};

/// @brief Sets a field of the table on top of the stack.
void SetNumber(lua_State* lua, const char* name, double value);
void SetInteger(lua_State* lua, const char* name, std::int64_t value);
void SetString(lua_State* lua, const char* name, const std::string& value);

/// @brief Pushes nil and an error description, as results for `return Failure(...)`.
int Failure(lua_State* lua, const std::string& description);

} // namespace acp::scenario
