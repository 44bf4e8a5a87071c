-- Hundreds of configuration changes while nodes restart, answers arrive out of order, and an isolated
-- control host still answers from its old state.
local scenario = require("scenario")
local sync = require("sync")

return {
  property = "an accepted configuration is in force within 19 s and never reverts, also after restarts (P12)",
  guard = "a control host states how long ago a quorum confirmed it, and stops after 1 s",
  run = function(guard)
    local world = scenario.world()
    local current, old = state.control(), state.control()
    local accepted = {}
    local function change(rate)
      for _, control in ipairs({ current, old }) do
        if control == current or rate <= 50 then
          control:put_document(sync.document(rate), rate - 1)
        end
      end
      accepted[rate] = world.now
    end
    local connected = sync.host(world, current)
    local cut_off = sync.host(world, old, { confirms = guard })
    for rate = 1, 400 do
      world:at(rate / 2, function() change(rate) end)
    end
    world:at(25.1, function() cut_off:isolate() end)

    local nodes, served = {}, 0
    for i = 1, 5 do
      local node = sync.node(world)
      node.slow_answers = i % 2 == 0
      node.host = connected
      node.newest = 0
      nodes[i] = node
      world:every(0.1, 5 + i / 100, function()
        local rate = node.view:rate_of("orders", "batik-solo")
        if not rate or not node.view:is_fresh_for_open_routes(world.now) then
          return
        end
        served = served + 1
        scenario.check(rate >= node.newest,
          string.format("node %d went from %d back to %d at %.1f", i, node.newest, rate, world.now))
        node.newest = math.max(node.newest, rate)
        local next_change = accepted[rate + 1]
        scenario.check(not next_change or world.now - next_change <= 19,
          string.format("node %d uses %d at %.1f", i, rate, world.now))
      end)
      world:every(3.1, 30 + i / 3, function() node:restart() end)
      world:every(1.7, 30, function() node.host = math.random() < 0.5 and connected or cut_off end)
    end
    world:run(230)
    scenario.check(served > 2000, "served " .. served)
    for i, node in ipairs(nodes) do
      scenario.check(node.newest == 400, string.format("node %d ended at %d", i, node.newest))
    end
  end,
}
