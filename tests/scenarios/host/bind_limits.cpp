/// @file
/// Exposes RateAuthority and TokenLeaseTable to scripts as the Lua library `limits`.

#include "lua_binding.hpp"

#include "acaciapulley/limits/rate_authority.hpp"
#include "acaciapulley/limits/token_lease_table.hpp"

namespace acp::scenario {

namespace {

constexpr const char* kAuthority = "acp.RateAuthority";
constexpr const char* kTable = "acp.TokenLeaseTable";

RateAuthority& Authority(lua_State* lua)
{
  return *Object<RateAuthority>::Get(lua, 1, kAuthority);
}

TokenLeaseTable& Table(lua_State* lua)
{
  return *Object<TokenLeaseTable>::Get(lua, 1, kTable);
}

LimitKey KeyAt(lua_State* lua, int index)
{
  return { .service = luaL_checkstring(lua, index), .account = luaL_checkstring(lua, index + 1) };
}

void PushAsk(lua_State* lua, const TokenAsk& ask)
{
  lua_newtable(lua);
  SetString(lua, "node", ask.nodeId);
  SetInteger(lua, "epoch", ask.epoch);
  SetString(lua, "service", ask.key.service);
  SetString(lua, "account", ask.key.account);
  SetInteger(lua, "number", ask.number);
  SetInteger(lua, "term", ask.term);
  SetNumber(lua, "received", ask.received);
  SetNumber(lua, "spent", ask.spent);
  SetNumber(lua, "returned", ask.returned);
  SetNumber(lua, "spent_age", ToSeconds(ask.spentAge));
  SetNumber(lua, "needed", ask.needed);
  SetNumber(lua, "wanted", ask.wanted);
}

TokenAsk AskAt(lua_State* lua, int index)
{
  const Fields fields(lua, index);
  return { .nodeId = fields.String("node"),
           .epoch = fields.Integer("epoch"),
           .key = { .service = fields.String("service"), .account = fields.String("account") },
           .number = fields.Integer("number"),
           .term = fields.Integer("term"),
           .received = fields.Number("received"),
           .spent = fields.Number("spent"),
           .returned = fields.Number("returned"),
           .spentAge = FromSeconds(fields.Number("spent_age")),
           .needed = fields.Number("needed"),
           .wanted = fields.Number("wanted") };
}

int NewAuthority(lua_State* lua)
{
  const Fields fields(lua, 1);
  RateAuthorityOptions options;
  options.prefetchFraction = fields.Number("prefetch_part", options.prefetchFraction);
  options.guards.waitAfterElection = fields.Boolean("wait_after_election", true);
  options.guards.boundLeasesByConfirmation = fields.Boolean("bound_by_confirmation", true);
  options.guards.countOutstanding = fields.Boolean("count_outstanding", true);
  options.guards.keepReserve = fields.Boolean("keep_reserve", true);
  options.guards.ignoreRepeatedAsks = fields.Boolean("settle_once", true);
  static const luaL_Reg kMethods[] = {
    { "begin_term",
      [](lua_State* state) {
        const std::int64_t term = luaL_checkinteger(state, 2);
        std::optional<PreviousTerm> previous;
        if (!lua_isnoneornil(state, 4)) {
          previous = { .term = term - 1, .knownSince = TimeAt(state, 4) };
        }
        Authority(state).BeginTerm(term, TimeAt(state, 3), previous);
        return 0;
      } },
    { "set_limit",
      [](lua_State* state) {
        const TokenLimit limit{ .rate = luaL_checknumber(state, 4),
                                .burst = luaL_checknumber(state, 5) };
        Authority(state).SetLimit(KeyAt(state, 2), limit, TimeAt(state, 6));
        return 0;
      } },
    { "acquire",
      [](lua_State* state) {
        const auto answer =
          Authority(state).Acquire(AskAt(state, 2), TimeAt(state, 3), TimeAt(state, 4));
        if (!answer) {
          return Failure(state, answer.error().Describe());
        }
        lua_newtable(state);
        SetInteger(state, "term", answer.value().term);
        SetInteger(state, "number", answer.value().number);
        SetNumber(state, "granted", answer.value().granted);
        SetNumber(state, "lease", ToSeconds(answer.value().lease));
        SetNumber(state, "retry_after", ToSeconds(answer.value().retryAfter));
        SetNumber(state, "settle_within", ToSeconds(answer.value().settleWithin));
        return 1;
      } },
    { nullptr, nullptr }
  };
  return Object<RateAuthority>::Push(
    lua, kAuthority, kMethods, std::make_shared<RateAuthority>(options));
}

int TryReserveToken(lua_State* lua)
{
  const ReserveResult result = Table(lua).TryReserve(KeyAt(lua, 2), TimeAt(lua, 4));
  const char* names[] = { "taken", "wait", "refused" };
  lua_pushstring(lua, names[static_cast<int>(result.status)]);
  lua_pushinteger(lua, result.reservation.pool);
  lua_pushnumber(lua, ToSeconds(result.retryAfter));
  return 3;
}

int OnAnswer(lua_State* lua)
{
  const Fields fields(lua, 4);
  const TokenAnswer answer{ .term = fields.Integer("term"),
                            .number = fields.Integer("number"),
                            .granted = fields.Number("granted"),
                            .lease = FromSeconds(fields.Number("lease")),
                            .retryAfter = FromSeconds(fields.Number("retry_after")),
                            .settleWithin = FromSeconds(fields.Number("settle_within")) };
  Table(lua).OnAnswer(KeyAt(lua, 2), answer, TimeAt(lua, 5));
  return 0;
}

int DueAsks(lua_State* lua)
{
  const auto asks = Table(lua).DueAsks(TimeAt(lua, 2));
  lua_newtable(lua);
  lua_Integer index = 0;
  for (const TokenAsk& ask : asks) {
    PushAsk(lua, ask);
    lua_seti(lua, -2, ++index);
  }
  return 1;
}

int NewTable(lua_State* lua)
{
  const Fields fields(lua, 1);
  const TokenLeaseTableOptions options{ .nodeId = fields.String("node"),
                                        .epoch = fields.Integer("epoch", 1),
                                        .leaseFromAsk = fields.Boolean("lease_from_ask", true) };
  static const luaL_Reg kMethods[] = {
    { "try_take", TryReserveToken },
    { "commit",
      [](lua_State* state) {
        const TokenReservation reservation{ .pool = luaL_checkinteger(state, 4) };
        lua_pushboolean(
          state, Table(state).Commit(KeyAt(state, 2), reservation, TimeAt(state, 5)) ? 1 : 0);
        return 1;
      } },
    { "put_back",
      [](lua_State* state) {
        const TokenReservation reservation{ .pool = luaL_checkinteger(state, 4) };
        Table(state).Release(KeyAt(state, 2), reservation, TimeAt(state, 5));
        return 0;
      } },
    { "enter_wait",
      [](lua_State* state) {
        Table(state).AddWaiter(KeyAt(state, 2));
        return 0;
      } },
    { "leave_wait",
      [](lua_State* state) {
        Table(state).RemoveWaiter(KeyAt(state, 2));
        return 0;
      } },
    { "due_ask",
      [](lua_State* state) {
        const auto ask = Table(state).DueAsk(KeyAt(state, 2), TimeAt(state, 4));
        if (!ask) {
          return 0;
        }
        PushAsk(state, *ask);
        return 1;
      } },
    { "due_asks", DueAsks },
    { "on_answer", OnAnswer },
    { "held",
      [](lua_State* state) {
        lua_pushnumber(state, Table(state).AvailableTokens(KeyAt(state, 2), TimeAt(state, 4)));
        return 1;
      } },
    { nullptr, nullptr }
  };
  return Object<TokenLeaseTable>::Push(
    lua, kTable, kMethods, std::make_shared<TokenLeaseTable>(options));
}

const luaL_Reg kFunctions[] = { { "authority", NewAuthority },
                                { "lease_table", NewTable },
                                { nullptr, nullptr } };
const Binding kBinding("limits", kFunctions);

} // namespace

} // namespace acp::scenario
