#include "acaciapulley/node/detail/peer_context.hpp"

#include <utility> // move

#include "acaciapulley/node/detail/headers.hpp"       // kContextHeader
#include "acaciapulley/node/detail/request_times.hpp" // RequestTimeout

namespace acp::detail {

namespace {

constexpr Duration kMaxPeerCallTime = std::chrono::hours(1);

} // namespace

OrRefusal<RequestContext> VerifyContext(const ContextSigner& signer,
                                        const Clock& clock,
                                        const ServerExchange& exchange)
{
  const auto header = exchange.Request().headers.Find(kContextHeader);
  auto context = signer.Verify(header.value_or(""), clock.WallNow());
  if (!context) {
    return NotRunRefusal(403, Reason::InvalidContext, context.error().Describe());
  }
  return std::move(context).value();
}

OrRefusal<RequestContext> VerifyFleetContext(const ContextSigner& signer,
                                             const Clock& clock,
                                             const ServerExchange& exchange)
{
  const auto header = exchange.Request().headers.Find(kContextHeader);
  auto context = signer.Verify(header.value_or(""), UnixMillis{});
  if (!context) {
    return NotRunRefusal(503, Reason::InvalidContext, context.error().Describe());
  }
  const auto left = RequestTimeout(exchange.Request(), { .deadline = kMaxPeerCallTime });
  if (!left) {
    return boost::outcome_v2::failure(left.error());
  }
  context.value().deadline = ToUnixMillis(CountMillis(clock.WallNow()) + left.value().count());
  return std::move(context).value();
}

} // namespace acp::detail
