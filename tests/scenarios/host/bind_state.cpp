/// @file
/// Exposes ControlState and StateCache to scripts as the Lua library `state`.

#include "lua_binding.hpp"

#include "acaciapulley/accounts/key_table.hpp"
#include "acaciapulley/config/service_document.hpp"
#include "acaciapulley/control/control_state.hpp"
#include "acaciapulley/control/detail/wire_codec.hpp"
#include "acaciapulley/node/state_cache.hpp"
#include "gen/command_types.h"

namespace acp::scenario {

namespace {

constexpr const char* kControl = "acp.ControlState";
constexpr const char* kChanges = "acp.StateChanges";
constexpr const char* kStateCache = "acp.NodeView";
constexpr luaL_Reg kNoMethods[] = { { nullptr, nullptr } };

ControlState& Control(lua_State* lua)
{
  return *Object<ControlState>::Get(lua, 1, kControl);
}

StateCache& Cache(lua_State* lua)
{
  return *Object<StateCache>::Get(lua, 1, kStateCache);
}

/// Applies @p command as the next committed entry of the log. Its origin must have a new request
/// id; otherwise it counts as a resend.
wire::CommandReply ApplyCommand(lua_State* lua, wire::ControlCommand command)
{
  static std::uint64_t entries = 0;
  ++entries;
  command.formatVersion = kControlFormat;
  const CommittedEntry entry{ .position = { .term = 1, .index = entries },
                              .time = ToUnixMillis(static_cast<std::int64_t>(entries)),
                              .command = detail::EncodeWire(command) };
  wire::CommandReply reply;
  detail::DecodeWire(Control(lua).Apply(entry), &reply);
  return reply;
}

wire::OperatorRequest NewRequest()
{
  static int requests = 0;
  wire::OperatorRequest request;
  request.operatorName = "scenario";
  request.requestId = "request-" + std::to_string(++requests);
  return request;
}

int PutDocument(lua_State* lua)
{
  const std::string body = luaL_checkstring(lua, 2);
  const auto document = ServiceDocument::Parse(body);
  if (!document) {
    return Failure(lua, document.error().Describe());
  }
  wire::ControlCommand command;
  command.__isset.putDocument = true;
  command.putDocument.origin = NewRequest();
  command.putDocument.serviceName = document.value().Service();
  command.putDocument.body = body;
  command.putDocument.ifVersion = luaL_checkinteger(lua, 3);
  const auto reply = ApplyCommand(lua, command);
  if (reply.errorCode != 0) {
    return Failure(lua, reply.message);
  }
  lua_pushinteger(lua, command.putDocument.ifVersion + 1);
  return 1;
}

int IssueKey(lua_State* lua)
{
  const NewKey key = GenerateKey(luaL_checkstring(lua, 2), ToUnixMillis(1));
  wire::ControlCommand command;
  command.__isset.issueKey = true;
  command.issueKey.origin = NewRequest();
  command.issueKey.record.id = key.record.id;
  command.issueKey.record.hash = key.record.hash;
  command.issueKey.record.account = key.record.account;
  command.issueKey.record.issuedAtMs = CountMillis(key.record.issuedAt);
  const auto reply = ApplyCommand(lua, command);
  if (reply.errorCode != 0) {
    return Failure(lua, reply.message);
  }
  lua_pushlstring(lua, key.text.data(), key.text.size());
  lua_pushlstring(lua, key.record.id.data(), key.record.id.size());
  return 2;
}

int RevokeKey(lua_State* lua)
{
  wire::ControlCommand command;
  command.__isset.revokeKey = true;
  command.revokeKey.origin = NewRequest();
  command.revokeKey.keyId = luaL_checkstring(lua, 2);
  for (const auto& record : Control(lua).Keys("")) {
    if (record.id == command.revokeKey.keyId) {
      command.revokeKey.account = record.account;
    }
  }
  const auto reply = ApplyCommand(lua, command);
  if (reply.errorCode != 0) {
    return Failure(lua, reply.message);
  }
  lua_pushboolean(lua, 1);
  return 1;
}

/// Returns a new ControlState that is restored from a snapshot of this one.
int CopyControl(lua_State* lua)
{
  auto copy = std::make_shared<ControlState>();
  copy->Restore(Control(lua).TakeSnapshot());
  return Object<ControlState>::Push(lua, kControl, kNoMethods, std::move(copy));
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
  Cache(lua).Apply(received, TimeAt(lua, 3));
  return 0;
}

int CheckKey(lua_State* lua)
{
  const auto account = Cache(lua).FindAccountByKey(luaL_checkstring(lua, 2));
  if (!account) {
    return 0;
  }
  lua_pushlstring(lua, account->data(), account->size());
  return 1;
}

int RateOf(lua_State* lua)
{
  const auto document = Cache(lua).DocumentOf(luaL_checkstring(lua, 2));
  const AccountLimit* limit = document ? document->FindLimit(luaL_checkstring(lua, 3)) : nullptr;
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
                                       { "copy", CopyControl },
                                       { nullptr, nullptr } };
  return Object<ControlState>::Push(lua, kControl, kMethods, std::make_shared<ControlState>());
}

int NewCache(lua_State* lua)
{
  static const luaL_Reg kMethods[] = {
    { "apply", ApplyChanges },
    { "check_key", CheckKey },
    { "rate_of", RateOf },
    { "version",
      [](lua_State* state) {
        lua_pushinteger(state, Cache(state).Version());
        return 1;
      } },
    { "is_fresh_for_keys",
      [](lua_State* state) {
        lua_pushboolean(state, Cache(state).IsFresh(TimeAt(state, 2), kKeyedMaxStateAge) ? 1 : 0);
        return 1;
      } },
    { "is_fresh_for_open_routes",
      [](lua_State* state) {
        lua_pushboolean(state, Cache(state).IsFresh(TimeAt(state, 2), kOpenMaxStateAge) ? 1 : 0);
        return 1;
      } },
    { nullptr, nullptr }
  };
  return Object<StateCache>::Push(lua, kStateCache, kMethods, std::make_shared<StateCache>());
}

const luaL_Reg kFunctions[] = { { "control", NewControl },
                                { "view", NewCache },
                                { nullptr, nullptr } };
const Binding kBinding("state", kFunctions);

} // namespace

} // namespace acp::scenario
