"""Several gateway processes and runners that announce a rate limit, on a virtual clock.

Scenarios check what reached the runners: callers' requests, queries and orders alike.
"""

import trio
from crash_world import CrashWorld
from gateway_world import Got

WINDOW_SECONDS = 4.0
# Time from the first response that announces a limit until the bound holds, seconds.
CONTACT_SECONDS = 3.0
# Requests allowed in a window beyond the rate.
SLACK = 3
# Minimum share of a limit that is used while callers wait.
USED_SHARE = 0.85
# Requests that arrive within this time of a response count as sent before it, seconds.
IMMEDIATE_SECONDS = 0.01


class RateWorld(CrashWorld):
    """Two chains and two plain runners, and several gateway processes in two failure domains."""

    def __init__(self, processes=7):
        super().__init__()
        self.names = tuple((f"g{each}", "xy"[each % 2]) for each in range(processes))
        self.seeds = tuple(f"g{each}-peer:1" for each in range(min(3, processes)))
        self.got: list[tuple[float, Got]] = []
        self.named_at = float("inf")

    def limit(self, names, *rates):
        """Make some runners announce rate limits in every response from now on."""
        self.named_at = min(self.named_at, trio.current_time())
        for name in names:
            self.runners[name].rate_limits = rates

    def sendings(self, name):
        """Return the arrival times of all messages at a runner, sorted."""
        reached = [*self.received_requests, *self.control_calls]
        return sorted(each.at for each in reached if each.instance.partition("+")[0] == name)

    def most_in_window(self, name, since=None):
        """Return the maximum number of messages that reached a runner in a window.

        Only windows after `since` count, by default some time after the first response that
        announced a limit.
        """
        since = self.named_at + CONTACT_SECONDS if since is None else since
        times = [at for at in self.sendings(name) if at > since]
        return max(
            (sum(at <= other < at + WINDOW_SECONDS for other in times) for at in times), default=0
        )

    def used(self, name, rate, since, until):
        """Return the share of a limit that callers' requests used between two times."""
        count = sum(
            each.instance == name and since <= each.at < until for each in self.received_requests
        )
        return count / (rate * (until - since))

    async def keep_asking(self, route, rate, seconds, share_of_first=None):
        """Send callers' requests to the live processes; return once all have a response.

        Args:
          route: the route requested.
          rate: requests a second over all processes, evenly spaced.
          seconds: the duration.
          share_of_first: the share sent to the first process, None for an equal share.
        """
        async with trio.open_nursery() as nursery:
            begun, number = trio.current_time(), 0
            while trio.current_time() < begun + seconds:
                process = self.pick(number, share_of_first)
                nursery.start_soon(self.ask_once, process, route, f"c{len(self.bodies)}")
                number += 1
                await trio.sleep_until(begun + number / rate)

    def pick(self, number, share_of_first):
        if share_of_first is None:
            return self.processes[number % len(self.processes)]
        if (number * share_of_first) % 1.0 < share_of_first:
            return self.processes[0]
        return self.processes[1 + number % (len(self.processes) - 1)]

    async def ask_once(self, process, route, name):
        began = trio.current_time()
        got = await self.ask_at(process, route, name)
        self.got.append((began, got))

    def served(self, since=float("-inf")):
        """Return the share of the callers since a given time that got a complete response."""
        got = [each for at, each in self.got if at >= since]
        return sum(each.status == 200 and each.whole for each in got) / max(1, len(got))
