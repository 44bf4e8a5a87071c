--- Checks and the simulated clock of a scenario script.
--
-- A script returns a table with `property` (the property under test), `guard` (the rule that is disabled
-- in the second run) and the function `run(guard)`. The host calls `scenario.run` once with the guard
-- enabled and once with it disabled.

local scenario = { seed = 1 }

local checks, failures, first = 0, 0, ""

--- Records a check; `text` describes the failure.
function scenario.check(condition, text)
  checks = checks + 1
  if not condition then
    failures = failures + 1
    if first == "" then
      first = text
    end
  end
end

function scenario.run(path, guard)
  math.randomseed(scenario.seed)
  local script = dofile(path)
  print(string.format("seed %d, property: %s; guard: %s", scenario.seed, script.property, script.guard))
  script.run(guard)
  return checks, failures, first
end

--- A discrete-event simulation. Its clock `world.now`, in seconds, advances from event to event.
function scenario.world()
  local world = { now = 0, order = 0, events = {} }

  --- Schedules `action` at `time`, or now if that is later. Events with equal times run in the order in
  -- which they were scheduled.
  function world:at(time, action)
    self.order = self.order + 1
    local event = { time = math.max(time, self.now), order = self.order, action = action }
    local events = self.events
    local i = #events + 1
    events[i] = event
    while i > 1 do
      local parent = i // 2
      local above = events[parent]
      if above.time < event.time or (above.time == event.time and above.order < event.order) then
        break
      end
      events[i], events[parent] = above, event
      i = parent
    end
  end

  function world:after(delay, action)
    self:at(self.now + delay, action)
  end

  --- Schedules `action` every `period` seconds, first at `start`.
  function world:every(period, start, action)
    self:at(start, function()
      action()
      self:every(period, self.now + period, action)
    end)
  end

  local function before(left, right)
    return left.time < right.time or (left.time == right.time and left.order < right.order)
  end

  local function pop(events)
    local top, last = events[1], table.remove(events)
    if #events == 0 then
      return top
    end
    local i = 1
    events[1] = last
    while true do
      local child = 2 * i
      if child < #events and before(events[child + 1], events[child]) then
        child = child + 1
      end
      if child > #events or not before(events[child], last) then
        return top
      end
      events[i], events[child] = events[child], last
      i = child
    end
  end

  --- Runs all events up to and including `time`.
  function world:run(time)
    while #self.events > 0 and self.events[1].time <= time do
      local event = pop(self.events)
      self.now = event.time
      event.action()
    end
    self.now = time
  end

  return world
end

return scenario
