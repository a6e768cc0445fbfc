"""Several processes before runners that name a rate limit, on a virtual clock.

Scenarios judge by what reached the runners: callers' requests, questions and orders alike.
"""

import trio
from crash_world import CrashWorld
from gateway_world import Got

WINDOW_SECONDS = 4.0
# From the first answer that names a limit until the bound holds, seconds.
CONTACT_SECONDS = 3.0
# What may come in a window beyond the rate.
SLACK = 3
# The part of a limit that is used while callers wait.
USED_SHARE = 0.85
# What was on its way while an answer came counts as sent before it, seconds.
AT_ONCE_SECONDS = 0.01


class RateWorld(CrashWorld):
    """Two chains and two plain runners, before them some processes of two failure domains."""

    def __init__(self, processes=7):
        super().__init__()
        self.names = tuple((f"g{each}", "xy"[each % 2]) for each in range(processes))
        self.seeds = tuple(f"g{each}-peer:1" for each in range(min(3, processes)))
        self.got: list[tuple[float, Got]] = []
        self.named_at = float("inf")

    def limit(self, names, *rates):
        """Let some runners name rate limits in every answer from now on."""
        self.named_at = min(self.named_at, trio.current_time())
        for name in names:
            self.runners[name].rate_limits = rates

    def sendings(self, name):
        """Return when anything reached a runner, in order."""
        reached = [*self.arrivals, *self.questions]
        return sorted(each.at for each in reached if each.instance.partition("+")[0] == name)

    def most_in_window(self, name, since=None):
        """Return the most sendings that reached a runner in a window after a moment.

        By default the bound holds from some time after the first answer that named a limit.
        """
        since = self.named_at + CONTACT_SECONDS if since is None else since
        times = [at for at in self.sendings(name) if at > since]
        return max(
            (sum(at <= other < at + WINDOW_SECONDS for other in times) for at in times), default=0
        )

    def used(self, name, rate, since, until):
        """Return the part of a limit that callers' requests used between two moments."""
        count = sum(each.instance == name and since <= each.at < until for each in self.arrivals)
        return count / (rate * (until - since))

    async def keep_asking(self, route, rate, seconds, share_of_first=None):
        """Let callers ask at the living processes; return once all have an answer.

        Args:
          route: what is asked for.
          rate: requests a second over all processes, evenly spaced.
          seconds: for how long.
          share_of_first: the part that comes to the first process, None for an equal part.
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
        """Return the part of the callers since a moment that were served whole."""
        got = [each for at, each in self.got if at >= since]
        return sum(each.status == 200 and each.whole for each in got) / max(1, len(got))
