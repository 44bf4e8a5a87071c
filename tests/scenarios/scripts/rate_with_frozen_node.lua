-- A node is frozen between reserving tokens and dispatching, for longer than their lease. When it resumes,
-- another node has spent the burst, and the requests of the frozen node must not run.
local scenario = require("scenario")
local rate = require("rate")

return {
  property = "rate x w + burst holds when a frozen node resumes with expired tokens (P6)",
  guard = "a token's lease is checked again at dispatch",
  run = function(guard)
    local world = scenario.world()
    local limit = { rate = 20, burst = 40 }
    local bucket = rate.true_bucket(limit)
    local leader = rate.leader(world, limit, 1)
    local frozen = rate.node(world, "frozen", { dispatch_delay = 0.02, commits = guard })
    local other = rate.node(world, "other")
    for _, node in ipairs({ frozen, other }) do
      node.leader = leader
      node.on_admit = function() bucket:admit(world.now) end
    end
    world:at(10, function() rate.surge(world, frozen, 40, 0.0004) end)
    world:at(10.01, function() frozen:freeze(5) end)
    world:at(14.9, function() rate.surge(world, other, 60, 0.1) end)
    world:run(20)
    scenario.check(other.admitted >= 30, "the other node got too few tokens after the lease expired")
    scenario.check(bucket.min_level > -1e-6, "true bucket at " .. bucket.min_level)
    scenario.check(frozen.admitted == 0, frozen.admitted .. " requests ran with expired tokens")
  end,
}
