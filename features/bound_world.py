"""Upstreams that fall silent and go on, and which of them executed each request."""

import trio
from gateway_runner import EVENT_SECONDS
from gateway_world import LAYERS, GatewayWorld, default_config
from partition_world import Cut, PartitionWorld

SILENCE_SECONDS = 1.0
# Requests that earn the retries of a stream: each move costs one.
EARLIER_REQUESTS = 40
POLL_SECONDS = 0.001
# Longer than a process takes to send a stream on, and than it stays with a lost peer.
LONG_SILENCE_SECONDS = 1.8
PLAIN_WORK_SECONDS = 0.6


class BoundWorld(GatewayWorld):
    """First upstreams that hold all layers, and routes that allow so many of them.

    Args:
      count: the number of upstreams.
      bound: the `maxAttempts` of each route.
    """

    def __init__(self, count, bound):
        super().__init__()
        self.config = with_bound(default_config(), bound)
        self.events = 120
        self.dark = set()
        for number in range(1, count + 1):
            self.add(f"x{number}", "llm", "x", 0, LAYERS)

    def executed_by(self, request):
        return executed_by(self, request)

    def silence(self, instance, seconds=SILENCE_SECONDS):
        silence(self, instance, seconds)

    def earn_retries(self):
        for _ in range(EARLIER_REQUESTS):
            self.node.gateway.context.budget("llm").earn()

    def end(self, instance):
        """Let the process of an upstream end: its machine resets and refuses connections."""
        self.runners[instance].die()

    def darken(self, instance):
        """Let the host of an upstream go dark for good."""
        self.dark.add(instance)
        self.runners[instance].dead = True
        self.network.silence(self.runners[instance].address)

    def reset(self, instance):
        self.network.reset(self.runners[instance].address)

    async def fail_in_series(self, request, count, events, fail, failed=()):
        """Let each further upstream that executes a request fail, after some events of its run.

        Args:
          request: the request.
          count: the number of upstreams that fail.
          events: the events of the run before that.
          fail: lets an upstream fail, by its instance.
          failed: those that have failed before.
        """
        failed = set(failed)
        count += len(failed)
        while len(failed) < count:
            await trio.sleep(POLL_SECONDS)
            for instance in set(self.executed_by(request)) - failed:
                await trio.sleep(events * EVENT_SECONDS)
                fail(instance)
                failed.add(instance)


class BoundPartitionWorld(PartitionWorld):
    """Three processes of which g0 reaches no upstream, and more upstreams than routes allow.

    Args:
      count: the number of first upstreams, and of plain ones.
      bound: the `maxAttempts` of each route.
    """

    def __init__(self, count, bound):
        super().__init__(3)
        self.config = with_bound(default_config(), bound)
        self.events = 2
        for number in range(count):
            domain = "xy"[number % 2]
            self.add(f"f{number}", "llm", domain, 0, LAYERS).accepts_orders = False
            self.add(f"c{number}", "crm", domain)
        for runner in self.runners.values():
            runner.slots, runner.work = 96, PLAIN_WORK_SECONDS

    async def partition_entry(self):
        """Partition g0 from all upstreams, and let it find out."""
        self.cut(["g0"], Cut.SILENT)
        for service in ("llm", "crm"):
            await self.processes[0].node._reach.own.confirm_contact(service)

    async def lose_runners(self, request, count, lost):
        """Let each further runner of a request fail it, and wait until the next one has it.

        A runner of streams falls silent, a plain one loses its connections; both go on.

        Args:
          request: the request.
          count: the number of runners to affect.
          lost: the runners that were affected before; new ones are added.
        """
        for _ in range(count):
            instance = await self.next_runner(request, lost)
            if instance is None:
                return
            lost.add(instance)
            if self.runners[instance].service == "llm":
                silence(self, instance, LONG_SILENCE_SECONDS)
            else:
                self.network.reset(self.runners[instance].address)
        await self.next_runner(request, lost)

    async def next_runner(self, request, known):
        """Return the next runner of a request that isn't known, None if none has it in time."""
        with trio.move_on_after(LONG_SILENCE_SECONDS):
            while True:
                for instance in executed_by(self, request):
                    if instance not in known:
                        return instance
                await trio.sleep(POLL_SECONDS)
        return None


def executed_by(site, request):
    """Return the upstreams that executed a request, in the order of their first runs."""
    return tuple(dict.fromkeys(each.instance for each in site.runs if each.request == request))


def silence(site, instance, seconds=SILENCE_SECONDS):
    """Let an upstream send nothing for a while, on open connections and new ones."""
    runner = site.runners[instance]
    runner.held_until = runner.silent_until = trio.current_time() + seconds


def with_bound(config, bound):
    """Return a desired state whose routes allow so many upstreams."""
    return {**config, "routes": [{**each, "maxAttempts": bound} for each in config["routes"]]}
