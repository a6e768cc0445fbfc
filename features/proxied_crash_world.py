"""Runners behind TCP proxies that accept connections also while the runner is down.

A probe that only connects can't tell such a proxy from a live runner. The runners restart at the
same address after some time.
"""

from itertools import count

import trio
from crash_world import Crash, CrashWorld

# Time from a crash until the runner restarts, seconds: in general, and where its connections stay
# open, which is before they count as stalled.
RESTART_DELAY_SECONDS = 1.2
EARLY_RESTART_DELAY_SECONDS = 0.1
# Time from the restart under another id until the row of the previous one is removed, seconds.
ROW_LAG_SECONDS = 0.8


class ProxiedCrashWorld(CrashWorld):
    """Three gateway processes, and runners behind proxies that reset connections late.

    Args:
      close_seconds: the interval at which the proxy of a crashed runner resets its connections.
    """

    def __init__(self, close_seconds):
        super().__init__()
        self._close_seconds = close_seconds
        # Whether a crashed runner restarts under another id.
        self.takes_new_ids = False
        # Whether a crashed runner restarts at all.
        self.restarts = True
        # Whether the connections to a crashed runner stay open and silent.
        self.keeps_connections = False
        self._starts = count(1)
        for runner in self.runners.values():
            runner.born = next(self._starts)

    def crash(self, runner, body):
        if self.keeps_connections:
            runner.keeps_silent_connections = True
            self.crashes.append(Crash(body, runner.instance, trio.current_time()))
            self.nursery.start_soon(self.start_replacement, runner)
            return
        super().crash(runner, body)
        self.nursery.start_soon(self._accept_for, runner)

    async def _accept_for(self, runner):
        """Accept connections in place of a crashed runner, and reset them late."""

        async def forward(request, exchange):
            await trio.sleep_forever()

        self.network.listen(runner.address, forward)
        while self.by_address(runner.address) is runner:
            await trio.sleep(self._close_seconds)
            self.network.reset(runner.address)

    async def start_replacement(self, runner):
        if not self.restarts:
            return
        is_early = self.keeps_connections
        await trio.sleep(EARLY_RESTART_DELAY_SECONDS if is_early else RESTART_DELAY_SECONDS)
        born = next(self._starts)
        name = (
            f"{runner.instance.partition('+')[0]}+{born}" if self.takes_new_ids else runner.instance
        )
        after = self.add(name, runner.service, runner.domain, runner.first, runner.end)
        after.address, after.born = runner.address, born
        after.accepts_orders, after.slots = False, runner.slots
        if not self.keeps_connections:
            self.network.reset(runner.address)
        after.start()
        if self.takes_new_ids:
            await trio.sleep(ROW_LAG_SECONDS)
            self.store.put("servers", runner.instance, None)
