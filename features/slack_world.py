"""Many processes that share the slack of a retry budget, without complete gateways.

Each process has a membership view, datagrams, what it needs to issue, and a retry allowance, on a
virtual clock. Requests and retries are recorded when they would be sent to an upstream.
"""

import trio
from token_world import TokenProcess, TokenWorld

from deckcourse.gateway.retry_allowance import RetryAllowance

SERVICE = "s"
# Width of the bins in which requests and retries are counted, and the number of bins in half of a
# window.
BIN_SECONDS = 0.1
HALF_WINDOW_BINS = 50


class SlackProcess(TokenProcess):
    """One process and its retry allowance."""

    def __init__(self, world, name, domain, start=1):
        super().__init__(world, name, domain, start)
        self.retried_at = trio.current_time()
        self.requested = []
        self.retried = []
        self.allowance = RetryAllowance(
            SERVICE, lambda: world.limits, self.issuing.retries.request, trio.current_time
        )

    async def fail(self, retries, reserve_share=0.0):
        """Receive a request of which every attempt fails; return how often it was retried."""
        world = self.world
        world.requests.append(trio.current_time())
        self.requested.append(trio.current_time())
        self.allowance.earn()
        for count in range(retries):
            if not await self.allowance.acquire(reserve_share):
                if not count:
                    # A time without requests is no wait.
                    wait = trio.current_time() - self.retried_at
                    world.longest_wait = max(world.longest_wait, wait)
                return count
            world.retries.append(trio.current_time())
            self.retried.append(trio.current_time())
            self.retried_at = trio.current_time()
        return retries


class SlackWorld(TokenWorld):
    """The processes, their store, and the requests and retries of all."""

    def __init__(self, count, limits, lost=0.0):
        super().__init__(count, None, lost)
        self.limits = self.retry_limits = limits
        self.requests = []
        self.retries = []
        self.weights = [1.0] * count
        self.longest_wait = 0.0
        # Whether requests come at random times, rather than evenly.
        self.is_random = True
        self.fault_began_at = self.fault_ended_at = 0.0
        self.process_type = SlackProcess

    async def fail_requests(self, rate, seconds, retries=3, reserve_share=0.0):
        """Send requests of which every attempt fails, `rate` a second over all processes."""
        until = trio.current_time() + seconds
        for each in self.processes:
            each.retried_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                process = self.choose()
                nursery.start_soon(process.fail, retries, reserve_share)
                await trio.sleep(self.random.expovariate(rate) if self.is_random else 1.0 / rate)

    def choose(self):
        """Return the process that receives the next request."""
        if len(self.weights) == len(self.processes):
            return self.random.choices(self.processes, self.weights)[0]
        return self.random.choice(self.processes)

    def between(self, times):
        """Return how many of some times lie within the fault."""
        return sum(self.fault_began_at <= each < self.fault_ended_at for each in times)

    def excess(self):
        """Return the most retries in a window beyond what is allowed, and when it began.

        The requests are those of the window, of the one before or of the one half a window earlier,
        whichever has the most.
        """
        retries, requests = self.bins(self.retries), self.bins(self.requests)
        worst = (-self.limits.slack, 0.0)
        for first in range(len(retries)):
            allowed = self.limits.slack + self.limits.ratio * max(
                sum(requests[max(0, first - shift) : max(0, first - shift + 2 * HALF_WINDOW_BINS)])
                for shift in (0, HALF_WINDOW_BINS, 2 * HALF_WINDOW_BINS)
            )
            count = sum(retries[first : first + 2 * HALF_WINDOW_BINS])
            worst = max(worst, (count - allowed, first * BIN_SECONDS))
        return worst

    def bins(self, times):
        last = max([0.0, *self.requests, *self.retries])
        counts = [0] * (int(last / BIN_SECONDS) + 1)
        for each in times:
            counts[int(each / BIN_SECONDS)] += 1
        return counts
