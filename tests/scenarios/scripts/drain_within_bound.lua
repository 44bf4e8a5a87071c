-- A member starts to drain. Its node reports that at its next poll, and the other nodes receive it with
-- their next polls; until then the member refuses requests and the callers reroute them.
local scenario = require("scenario")

local function poll_period()
  return 0.8 + 0.4 * math.random()
end

return {
  property = "a draining upstream receives no requests 3 s after the drain, and refusals are rerouted (P10)",
  guard = "routing excludes members that control's list or their own refusals report as draining",
  run = function(guard)
    local world = scenario.world()
    local members, version = {}, 1
    for i = 1, 4 do
      members[i] = { node = "m" .. i, service = "orders", data_centre = "a", slots = 20 }
    end
    local routers = {}
    local function apply(router)
      local list = {}
      for i, member in ipairs(members) do
        list[i] = { node = member.node, service = member.service, data_centre = "a",
          slots = member.slots, draining = guard and member.draining }
      end
      router:apply(1, version, list, world.now)
    end
    for i = 1, 8 do
      local router = routing.router({ node = "n" .. i, data_centre = "a", seed = scenario.seed + i })
      routers[i] = router
      apply(router)
      local function poll()
        apply(router)
        world:after(poll_period(), poll)
      end
      world:after(poll_period(), poll)
    end

    local drained_at, late, rerouted, lost, before = 20, 0, 0, 0, 0
    local is_draining = false
    local function send(router, tried)
      local node, epoch = router:pick("orders", world.now, table.unpack(tried))
      if not node then
        lost = lost + 1
        return
      end
      if node == "m1" then
        before = before + (is_draining and 0 or 1)
        late = late + (world.now > drained_at + 3 and 1 or 0)
      end
      if node == "m1" and is_draining then
        router:finish("orders", node, epoch, guard and "draining" or "answered", world.now, world.now)
        rerouted = rerouted + 1
        send(router, { node })
        return
      end
      world:after(0.02, function()
        router:finish("orders", node, epoch, "answered", world.now, world.now)
      end)
    end
    world:every(0.01, 1, function()
      send(routers[math.random(#routers)], {})
    end)
    world:at(drained_at, function()
      is_draining = true
      world:after(poll_period(), function()
        members[1].draining = true
        version = version + 1
      end)
    end)
    world:run(60)
    scenario.check(before > 100, "the member got " .. before .. " requests before its drain")
    scenario.check(lost == 0, lost .. " requests found no member")
    scenario.check(late == 0, late .. " requests came more than 3 s after the drain")
    scenario.check(rerouted <= #routers, rerouted .. " requests were sent to the draining member")
  end,
}
