-- An account's traffic moves to another node within a second, again and again. What the earlier node
-- spent and holds must be free for the next one in time.
local scenario = require("scenario")
local rate = require("rate")

return {
  property = "at most 0.1% of requests within the rate are refused while traffic moves (1.2)",
  guard = "every ask settles the tokens spent since the last one",
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
    -- Below the rate and evenly spread: a central bucket would refuse nothing.
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
