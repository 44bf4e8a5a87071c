/// @file
/// Exposes MemberTable with a Balancer to scripts as the Lua library `routing`.

#include <random> // mt19937_64, uniform_real_distribution

#include "lua_binding.hpp"

#include "acaciapulley/routing/balancer.hpp"

namespace acp::scenario {

namespace {

constexpr const char* kRouter = "acp.Router";

/// Member table and balancer of one node, with a seeded random generator.
struct Router
{
  Router(const std::string& node, const std::string& dataCentre, std::uint64_t seed)
    : random(seed)
    , balancer(
        { .localNodeId = node,
          .localDataCentre = dataCentre,
          .members = &members,
          .random = [this] { return std::uniform_real_distribution<double>(0, 1)(random); } })
  {
  }

  std::mt19937_64 random;
  MemberTable members;
  Balancer balancer;
};

Router& Self(lua_State* lua)
{
  return *Object<Router>::Get(lua, 1, kRouter);
}

int Apply(lua_State* lua)
{
  std::vector<RoutedMember> members;
  const lua_Integer count = luaL_len(lua, 4);
  for (lua_Integer i = 1; i <= count; ++i) {
    lua_geti(lua, 4, i);
    const Fields fields(lua, -1);
    members.push_back({ .nodeId = fields.String("node"),
                        .epoch = fields.Integer("epoch", 1),
                        .service = fields.String("service"),
                        .dataCentre = fields.String("data_centre"),
                        .slots = static_cast<int>(fields.Integer("slots", 1)),
                        .coldStart = FromSeconds(fields.Number("cold_start")),
                        .isDraining = fields.Boolean("draining", false) });
    lua_pop(lua, 1);
  }
  Self(lua).members.Apply(
    luaL_checkinteger(lua, 2), luaL_checkinteger(lua, 3), members, TimeAt(lua, 5));
  return 0;
}

int Pick(lua_State* lua)
{
  PickRequest request{ .service = luaL_checkstring(lua, 2) };
  for (int i = 4; i <= lua_gettop(lua); ++i) {
    request.tried.emplace_back(luaL_checkstring(lua, i));
  }
  const auto picked = Self(lua).balancer.Pick(request, TimeAt(lua, 3));
  if (!picked) {
    return 0;
  }
  lua_pushlstring(lua, picked->nodeId.data(), picked->nodeId.size());
  lua_pushinteger(lua, picked->epoch);
  return 2;
}

int Finish(lua_State* lua)
{
  static const char* const kResults[] = { "answered", "server_error", "refused", "draining",
                                          "failed",   "cancelled",    nullptr };
  const auto result = static_cast<CallResult>(luaL_checkoption(lua, 5, nullptr, kResults));
  Self(lua).members.FinishCall(luaL_checkstring(lua, 2),
                               luaL_checkstring(lua, 3),
                               luaL_checkinteger(lua, 4),
                               { .result = result, .startedAt = TimeAt(lua, 6) },
                               TimeAt(lua, 7));
  return 0;
}

int NewRouter(lua_State* lua)
{
  const Fields fields(lua, 1);
  static const luaL_Reg kMethods[] = {
    { "apply", Apply }, { "pick", Pick }, { "finish", Finish }, { nullptr, nullptr }
  };
  const auto seed = static_cast<std::uint64_t>(fields.Integer("seed", 1));
  return Object<Router>::Push(
    lua,
    kRouter,
    kMethods,
    std::make_shared<Router>(fields.String("node"), fields.String("data_centre"), seed));
}

const luaL_Reg kFunctions[] = { { "router", NewRouter }, { nullptr, nullptr } };
const Binding kBinding("routing", kFunctions);

} // namespace

} // namespace acp::scenario
