-- A leader and one node are cut off from the quorum, and a successor serves the other node. The two sides
-- together must not exceed the rate and the burst.
local scenario = require("scenario")
local rate = require("rate")

return {
  property = "rate x w + burst holds on both sides of a partition together (P6)",
  guard = "a lease expires 2 s after the leader's last confirmed heartbeat round",
  run = function(guard)
    local world = scenario.world()
    local limit = { rate = 50, burst = 100 }
    local bucket = rate.true_bucket(limit)
    local options = { bound_by_confirmation = guard }
    local first = rate.leader(world, limit, 1, options)
    local inside = rate.node(world, "inside")
    local outside = rate.node(world, "outside")
    for _, node in ipairs({ inside, outside }) do
      node.leader = first
      node.on_admit = function() bucket:admit(world.now) end
    end
    world:at(10, function()
      first:isolate()
      outside.leader = nil
    end)
    world:at(10.4, function() outside.leader = rate.leader(world, limit, 2, options) end)
    for _, node in ipairs({ inside, outside }) do
      world:at(11, function() rate.surge(world, node, 3000, 10) end)
      world:at(25, function() rate.surge(world, node, 200, 0.2) end)
    end
    world:at(23, function() inside.leader = outside.leader end)
    world:run(30)
    scenario.check(outside.admitted > 400, "requests admitted on the side of the quorum: " .. outside.admitted)
    scenario.check(bucket.min_level > -1e-6, "true bucket at " .. bucket.min_level)
  end,
}
