-- A leader crashes while a frozen node has a whole burst of reserved tokens that it has not committed yet.
-- The successor must not grant tokens before those have expired.
local scenario = require("scenario")
local rate = require("rate")

return {
  property = "rate x w + burst holds through a failover with a frozen node (P6)",
  guard = "a new leader grants only after all earlier leases have expired",
  run = function(guard)
    local world = scenario.world()
    local limit = { rate = 50, burst = 50 }
    local bucket = rate.true_bucket(limit)
    local first = rate.leader(world, limit, 1)
    local holder = rate.node(world, "holder", { dispatch_delay = 0.02 })
    local other = rate.node(world, "other")
    for _, node in ipairs({ holder, other }) do
      node.leader = first
      node.on_admit = function() bucket:admit(world.now) end
    end
    world:at(10, function() rate.surge(world, holder, 50, 0.0004) end)
    world:at(10.01, function() holder:freeze(1.6) end)
    world:at(10.02, function() first:crash() end)
    world:at(10.3, function()
      other.leader = rate.leader(world, limit, 2, { wait_after_election = guard })
      holder.leader = other.leader
    end)
    world:at(11.5, function() rate.surge(world, other, 100, 0.1) end)
    world:at(13, function() rate.surge(world, other, 200, 1) end)
    world:run(16)
    scenario.check(holder.admitted + holder.refused == 50, "some requests of the frozen node got no decision")
    scenario.check(other.admitted > 0, "the new leader granted nothing")
    scenario.check(bucket.min_level > -1e-6, "true bucket at " .. bucket.min_level)
  end,
}
