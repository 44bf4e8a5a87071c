--- Simulated control hosts and the nodes that poll them, for scenarios with configuration and keys.

local sync = {}

local DELAY = 0.0005
local MAX_CONFIRMATION_AGE = 1

--- Returns a service document whose only account has `rate`; scripts identify the version by it.
function sync.document(rate)
  return string.format([[{"service":"orders","classes":[{"name":"all","methods":["GET"],
    "path":"/**","priority":1,"idempotent":true,"deadline_ms":1000}],
    "accounts":[{"name":"batik-solo","rate":%d,"burst":%d}]}]], rate, rate)
end

--- A control host that answers polls from `control`. With `options.confirms` = false it reports its state
-- as current even while it is cut off from the quorum.
function sync.host(world, control, options)
  local host = { control = control, confirmed_until = math.huge }

  function host:isolate()
    self.confirmed_until = world.now
  end

  --- Returns the changes and the age of the last confirmation, or nil if that is too old.
  function host:answer(version)
    local age = math.max(world.now - self.confirmed_until, 0)
    if options and options.confirms == false then
      age = 0
    end
    if age > MAX_CONFIRMATION_AGE then
      return nil
    end
    return self.control:changes_since(version), age
  end

  return host
end

--- A node that polls `node.host` about once per second; if that is nil, its polls get no answer.
function sync.node(world)
  local node = { view = state.view(), epoch = 1 }

  function node:restart()
    self.epoch = self.epoch + 1
    self.view = state.view()
  end

  function node:poll(delay)
    local asked, epoch, host = world.now, self.epoch, self.host
    world:after(DELAY, function()
      if not host then
        return
      end
      local changes, age = host:answer(node.view:version())
      if changes then
        world:after(delay or DELAY, function()
          if node.epoch == epoch then
            node.view:apply(changes, asked - age)
          end
        end)
      end
    end)
  end

  local function repeat_poll()
    node:poll(node.slow_answers and math.random() * 3 or nil)
    world:after(0.8 + 0.4 * math.random(), repeat_poll)
  end
  world:after(math.random(), repeat_poll)

  return node
end

return sync
