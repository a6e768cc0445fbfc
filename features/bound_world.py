"""Upstreams that fall silent and go on, and which of them executed each request."""

import trio
from gateway_runner import EVENT_SECONDS
from gateway_world import LAYERS, GatewayWorld, default_config

SILENCE_SECONDS = 1.0
# Requests that earn the retries of a stream: each move costs one.
EARLIER_REQUESTS = 40
POLL_SECONDS = 0.001


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
        for number in range(1, count + 1):
            self.add(f"x{number}", "llm", "x", 0, LAYERS)

    def executed_by(self, request):
        """Return the upstreams that executed a request, in the order of their first runs."""
        return tuple(dict.fromkeys(each.instance for each in self.runs if each.request == request))

    def silence(self, instance, seconds=SILENCE_SECONDS):
        """Let an upstream send nothing for a while, on open connections and new ones."""
        runner = self.runners[instance]
        runner.held_until = runner.silent_until = trio.current_time() + seconds

    def earn_retries(self):
        for _ in range(EARLIER_REQUESTS):
            self.node.gateway.context.budget("llm").earn()

    async def silence_in_series(self, request, count, events):
        """Silence each further upstream that executes a request, after some events of its run."""
        silenced = set()
        while len(silenced) < count:
            await trio.sleep(POLL_SECONDS)
            for instance in set(self.executed_by(request)) - silenced:
                await trio.sleep(events * EVENT_SECONDS)
                self.silence(instance)
                silenced.add(instance)


def with_bound(config, bound):
    """Return a desired state whose routes allow so many upstreams."""
    return {**config, "routes": [{**each, "maxAttempts": bound} for each in config["routes"]]}
