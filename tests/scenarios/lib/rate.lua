--- Simulated leaders and nodes, and an ideal token bucket, for scenarios with rate tokens.

local rate = {}

local SERVICE, ACCOUNT = "orders", "batik-solo"
local DELAY = 0.0005
local HEARTBEAT = 0.05

--- An ideal token bucket that sees all admissions of the account. `min_level` below zero means that
-- some window of w seconds had more than rate x w + burst admissions.
function rate.true_bucket(limit)
  local bucket = { level = limit.burst, at = 0, min_level = limit.burst }

  function bucket:refill(now)
    self.level = math.min(limit.burst, self.level + limit.rate * (now - self.at))
    self.at = now
    return self.level
  end

  function bucket:admit(now)
    self:refill(now)
    self.level = self.level - 1
    self.min_level = math.min(self.min_level, self.level)
  end

  return bucket
end

--- A control leader with its own RateAuthority. `options` are those of limits.authority.
function rate.leader(world, limit, term, options)
  local leader = { authority = limits.authority(options or {}), confirmed_until = math.huge }
  leader.authority:begin_term(term, world.now, options and options.previous_known_since)
  leader.authority:set_limit(SERVICE, ACCOUNT, limit.rate, limit.burst, world.now)

  --- Cuts the leader off from the quorum: its heartbeats get no replies any more, but it can still answer
  -- nodes on its side of the partition.
  function leader:isolate()
    self.confirmed_until = world.now
  end

  function leader:crash()
    self.is_dead = true
  end

  function leader:answer(ask)
    if self.is_dead then
      return nil
    end
    local confirmed = math.min(world.now - HEARTBEAT, self.confirmed_until)
    return (self.authority:acquire(ask, confirmed, world.now))
  end

  return leader
end

--- A node. `on_admit` is called for each admission. `options.commits` = false disables the check of the
-- lease at dispatch; `node.settles` = false leaves the spent tokens out of its asks.
function rate.node(world, name, options)
  local node = { leader = nil, frozen_until = 0, admitted = 0, refused = 0, waiting = {} }
  options = options or {}
  options.node = name
  node.table = limits.lease_table(options)

  local function run_when_awake(action)
    if world.now < node.frozen_until then
      world:at(node.frozen_until, function() run_when_awake(action) end)
    else
      action()
    end
  end

  function node:freeze(span)
    self.frozen_until = world.now + span
  end

  function node:send(ask)
    local leader = self.leader
    if self.settles == false then
      ask.spent, ask.spent_age = 0, 0
    end
    world:after(DELAY, function()
      local answer = leader and leader:answer(ask)
      if answer and not node.loses_answers then
        world:after(DELAY, function()
          run_when_awake(function()
            node.table:on_answer(SERVICE, ACCOUNT, answer, world.now)
            node:serve_waiting()
          end)
        end)
      end
    end)
  end

  function node:dispatch(request, reservation)
    run_when_awake(function()
      local valid = node.table:commit(SERVICE, ACCOUNT, reservation, world.now)
      if valid or options.commits == false then
        node.admitted = node.admitted + 1
        node.on_admit(request)
      else
        node:refuse(request)
      end
    end)
  end

  function node:refuse(request)
    self.refused = self.refused + 1
    if self.on_refuse then
      self.on_refuse(request)
    end
  end

  function node:serve_waiting()
    while #self.waiting > 0 do
      local request = self.waiting[1]
      local status, reservation = self.table:try_take(SERVICE, ACCOUNT, world.now)
      if status == "wait" and world.now < request.expires_at then
        break
      end
      table.remove(self.waiting, 1)
      self.table:leave_wait(SERVICE, ACCOUNT)
      if status == "taken" then
        world:after(options.dispatch_delay or 0, function() node:dispatch(request, reservation) end)
      else
        self:refuse(request)
      end
    end
    self:ask()
  end

  function node:ask()
    local ask = self.table:due_ask(SERVICE, ACCOUNT, world.now)
    if ask then
      self:send(ask)
    end
  end

  --- Lets a request arrive. Scripts may pass a table with fields of their own as `request`.
  function node:request(request)
    request = request or {}
    request.expires_at = world.now + 0.05
    run_when_awake(function()
      node.table:enter_wait(SERVICE, ACCOUNT)
      table.insert(node.waiting, request)
      node:serve_waiting()
    end)
  end

  world:every(0.01, world.now + 0.01, function()
    if world.now >= node.frozen_until then
      for _, ask in ipairs(node.table:due_asks(world.now)) do
        node:send(ask)
      end
      node:serve_waiting()
    end
  end)

  return node
end

--- Sends `count` requests to `node`, evenly spread over the next `span` seconds.
function rate.surge(world, node, count, span)
  for i = 1, count do
    world:after(span * i / count, function() node:request() end)
  end
end

return rate
