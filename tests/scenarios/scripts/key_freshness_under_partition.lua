-- A node is cut off from control without connection errors, so it is not told of a revoked key while its
-- callers stay connected.
local scenario = require("scenario")
local sync = require("sync")

return {
  property = "a revoked key is refused within 5 s, also by a node behind a long partition (P5)",
  guard = "requests with a key need state that was current within the last 4 s",
  run = function(guard)
    local world = scenario.world()
    local control = state.control()
    local key, id = control:issue_key("batik-solo")
    local node = sync.node(world)
    node.host = sync.host(world, control)
    local served_before, last_served = 0, 0
    world:every(0.05, 2, function()
      local fresh = not guard or node.view:is_fresh_for_keys(world.now)
      if fresh and node.view:check_key(key) then
        served_before = served_before + (world.now < 10 and 1 or 0)
        last_served = world.now
      end
    end)
    world:at(10, function() node.host = nil end)
    world:at(10.001, function() control:revoke_key(id) end)
    world:run(3600)
    scenario.check(served_before > 150, "served before the partition: " .. served_before)
    scenario.check(last_served <= 15.001, "the key still worked at " .. last_served)
    node.host = sync.host(world, control)
    world:run(3605)
    scenario.check(node.view:is_fresh_for_keys(world.now), "the node did not recover")
    scenario.check(not node.view:check_key(key), "the key works after the partition")
  end,
}
