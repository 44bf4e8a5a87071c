/// @file
/// Exposes ControlState and NodeView to scripts as the library `state`.

#include "lua_binding.hpp"

#include "acaciapulley/accounts/key_table.hpp"
#include "acaciapulley/control/control_state.hpp"
#include "acaciapulley/node/node_view.hpp"

namespace acp::scenario {

namespace {

constexpr const char* kControl = "acp.ControlState";
constexpr const char* kChanges = "acp.StateChanges";
constexpr const char* kView = "acp.NodeView";
constexpr luaL_Reg kNoMethods[] = { { nullptr, nullptr } };

ControlState& Control(lua_State* lua)
{
  return *Object<ControlState>::Get(lua, 1, kControl);
}

NodeView& View(lua_State* lua)
{
  return *Object<NodeView>::Get(lua, 1, kView);
}

int PutDocument(lua_State* lua)
{
  const auto version =
    Control(lua).PutDocument(luaL_checkstring(lua, 2), luaL_checkinteger(lua, 3));
  if (!version) {
    return Failure(lua, version.error().Describe());
  }
  lua_pushinteger(lua, version.value());
  return 1;
}

int IssueKey(lua_State* lua)
{
  const NewKey key = MakeKey(luaL_checkstring(lua, 2), ToUnixMillis(1));
  const auto issued = Control(lua).IssueKey(key.record);
  if (!issued) {
    return Failure(lua, issued.error().Describe());
  }
  lua_pushlstring(lua, key.text.data(), key.text.size());
  lua_pushlstring(lua, key.record.id.data(), key.record.id.size());
  return 2;
}

int RevokeKey(lua_State* lua)
{
  const auto revoked = Control(lua).RevokeKey(luaL_checkstring(lua, 2));
  if (!revoked) {
    return Failure(lua, revoked.error().Describe());
  }
  lua_pushboolean(lua, 1);
  return 1;
}

int ChangesSince(lua_State* lua)
{
  auto changes =
    std::make_shared<StateChanges>(Control(lua).ChangesSince(luaL_checkinteger(lua, 2)));
  return Object<StateChanges>::Push(lua, kChanges, kNoMethods, std::move(changes));
}

int ApplyChanges(lua_State* lua)
{
  const StateChanges& changes = *Object<StateChanges>::Get(lua, 2, kChanges);
  ReceivedChanges received{ .isSnapshot = changes.isSnapshot,
                            .toVersion = changes.toVersion,
                            .issuedKeys = changes.issuedKeys,
                            .revokedKeyIds = changes.revokedKeyIds };
  for (const StoredDocument& document : changes.documents) {
    received.documents.push_back({ .version = document.version, .body = document.body });
  }
  View(lua).Apply(received, TimeAt(lua, 3));
  return 0;
}

int CheckKey(lua_State* lua)
{
  const auto account = View(lua).CheckKey(luaL_checkstring(lua, 2));
  if (!account) {
    return 0;
  }
  lua_pushlstring(lua, account->data(), account->size());
  return 1;
}

int RateOf(lua_State* lua)
{
  const auto document = View(lua).DocumentOf(luaL_checkstring(lua, 2));
  const AccountLimit* limit = document ? document->LimitOf(luaL_checkstring(lua, 3)) : nullptr;
  if (limit == nullptr) {
    return 0;
  }
  lua_pushnumber(lua, limit->rate);
  return 1;
}

int NewControl(lua_State* lua)
{
  static const luaL_Reg kMethods[] = { { "put_document", PutDocument },
                                       { "issue_key", IssueKey },
                                       { "revoke_key", RevokeKey },
                                       { "changes_since", ChangesSince },
                                       { "version",
                                         [](lua_State* state) {
                                           lua_pushinteger(state, Control(state).Version());
                                           return 1;
                                         } },
                                       { "copy",
                                         [](lua_State* state) {
                                           auto copy =
                                             std::make_shared<ControlState>(Control(state));
                                           return Object<ControlState>::Push(
                                             state, kControl, kNoMethods, std::move(copy));
                                         } },
                                       { nullptr, nullptr } };
  return Object<ControlState>::Push(lua, kControl, kMethods, std::make_shared<ControlState>());
}

int NewView(lua_State* lua)
{
  static const luaL_Reg kMethods[] = {
    { "apply", ApplyChanges },
    { "check_key", CheckKey },
    { "rate_of", RateOf },
    { "version",
      [](lua_State* state) {
        lua_pushinteger(state, View(state).Version());
        return 1;
      } },
    { "is_fresh_for_keys",
      [](lua_State* state) {
        lua_pushboolean(state, View(state).IsFresh(TimeAt(state, 2), kKeyedFreshness) ? 1 : 0);
        return 1;
      } },
    { "is_fresh_for_open_routes",
      [](lua_State* state) {
        lua_pushboolean(state, View(state).IsFresh(TimeAt(state, 2), kOpenFreshness) ? 1 : 0);
        return 1;
      } },
    { nullptr, nullptr }
  };
  return Object<NodeView>::Push(lua, kView, kMethods, std::make_shared<NodeView>());
}

const luaL_Reg kFunctions[] = { { "control", NewControl },
                                { "view", NewView },
                                { nullptr, nullptr } };
const Binding kBinding("state", kFunctions);

} // namespace

} // namespace acp::scenario
