-- A frozen node resumes just before its tokens of the previous leader expire, and spends them. Right after
-- that the new leader may grant. Its bucket must not have been refilled while tokens of its predecessor
-- could still be spent.
local scenario = require("scenario")
local rate = require("rate")

return {
  property = "rate x w + burst holds around the end of a new leader's wait (P6)",
  guard = "the part of the burst that a new leader may grant early is never leased to nodes",
  run = function(guard)
    local world = scenario.world()
    local limit = { rate = 50, burst = 50 }
    local bucket = rate.true_bucket(limit)
    local first = rate.leader(world, limit, 1, { keep_reserve = guard })
    local holder = rate.node(world, "holder", { dispatch_delay = 0.02 })
    local other = rate.node(world, "other")
    for _, node in ipairs({ holder, other }) do
      node.leader = first
      node.on_admit = function() bucket:admit(world.now) end
    end
    world:at(10, function() rate.surge(world, holder, 50, 0.0004) end)
    world:at(10.01, function() holder:freeze(1.9) end)
    world:at(10.02, function() first:crash() end)
    world:at(10.05, function()
      other.leader = rate.leader(world, limit, 2, { previous_known_since = 0, keep_reserve = guard })
    end)
    for i = 0, 9 do
      world:at(11.9 + i / 20, function() rate.surge(world, other, 40, 0.04) end)
    end
    world:run(16)
    scenario.check(holder.admitted > 0, "the frozen node did not resume before its tokens expired")
    scenario.check(other.admitted > 0, "the new leader granted nothing")
    scenario.check(bucket.min_level > -1e-6, "true bucket at " .. bucket.min_level)
  end,
}
