-- An account's traffic moves from node to node several times per second. The tokens that the previous node
-- spent or still has must become available to the next node in time.
local scenario = require("scenario")
local rate = require("rate")

return {
  property = "at most 0.1% of requests within the rate are refused while traffic moves (1.2)",
  guard = "each ask reports the tokens spent since the previous one",
  run = function(guard)
    local world = scenario.world()
    local limit = { rate = 100, burst = 20 }
    local leader = rate.leader(world, limit, 1)
    local nodes, offered, refused = {}, 0, 0
    for i = 1, 6 do
      local node = rate.node(world, "node-" .. i)
      node.leader = leader
      node.settles = guard
      node.on_admit = function() end
      node.on_refuse = function() refused = refused + 1 end
      nodes[i] = node
    end
    -- The load is below the rate and evenly spread, so that a central bucket would refuse no request.
    for i = 1, 5000 do
      world:at(5 + i / 90, function()
        local active = nodes[1 + math.floor(world.now / 0.3) % #nodes]
        offered = offered + 1
        active:request()
      end)
    end
    world:run(70)
    scenario.check(offered == 5000, "offered " .. offered)
    scenario.check(refused <= offered / 1000, refused .. " of " .. offered .. " refused")
  end,
}
