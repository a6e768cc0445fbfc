"""Many complete gateway processes before upstreams that fail, on a virtual clock.

Scenarios check the retries that reached the upstreams, over all processes together.
"""

from collections import Counter

import trio
from rate_world import RateWorld

from deckcourse.settings import GatewaySettings

RATIO = 0.2
SLACK = 100
WINDOW_SECONDS = 10.0


class RetryWorld(RateWorld):
    """Two chains and two plain runners, and processes in two failure domains."""

    def __init__(self, processes):
        super().__init__(processes)
        self.settings = GatewaySettings(retry_ratio=RATIO, retry_slack=SLACK)
        self.asked_at = []

    def behave(self, how):
        """Make all runners fail in the same way from now on, or serve if `how` is empty."""
        for runner in self.runners.values():
            runner.behaviour = how

    async def ask_once(self, process, route, name):
        self.asked_at.append(trio.current_time())
        await super().ask_once(process, route, name)

    def retries(self):
        """Return when retries reached a runner, sorted."""
        seen = Counter()
        times = []
        for each in sorted(self.received_requests, key=lambda each: each.at):
            seen[each.request] += 1
            if seen[each.request] > 1:
                times.append(each.at)
        return times

    def excess(self):
        """Return the largest number of retries in a window beyond what is allowed.

        The requests are those of the window, the one before or the one half a window earlier,
        whichever has the most.
        """
        retries = self.retries()
        return max(
            (
                sum(begin <= at < begin + WINDOW_SECONDS for at in retries)
                - RATIO * max(self.requests_from(begin - shift) for shift in (0.0, 5.0, 10.0))
                - SLACK
                for begin in retries
            ),
            default=-SLACK,
        )

    def requests_from(self, begin):
        return sum(begin <= at < begin + WINDOW_SECONDS for at in self.asked_at)
