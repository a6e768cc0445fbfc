"""Changes of the desired state under the callers that they concern: storms, then calm times.

None of them is a fault. In calm times no change is near, so that the share of requests that entries
end around changes can be compared with that of other times.
"""

from dataclasses import dataclass
from random import Random

import trio

from soak.change_callers import ChangeCallers
from soak.change_draws import ChangeDraws
from soak.trouble import SiteTrouble

__all__ = ["ChangeFaults"]

CALLER_COUNT = 10
# So often that an entry that takes no new connection meets seven callers within 3 s.
SWITCH_SHARE = 0.4
RECONNECT_SHARE = 0.4
# A storm, and the time between two changes in it: some come at once.
MIN_STORM_SECONDS = 0.8
MAX_STORM_SECONDS = 2.5
AT_ONCE_SHARE = 0.2
MAX_CHANGE_INTERVAL_SECONDS = 0.5
# Changes in one version, at most.
MAX_CHANGES_AT_ONCE = 3
# Versions rise in uneven steps.
MAX_VERSION_STEP = 4
# From 3 s after a change no request counts as near one.
MIN_CALM_SECONDS = 4.5
MAX_CALM_SECONDS = 6.0


@dataclass
class ChangeFaults(SiteTrouble):
    """Changes the desired state of a site, whose callers use what comes and goes.

    Between two storms it is calm for `min_calm_seconds` to `max_calm_seconds`.
    """

    min_calm_seconds: float = MIN_CALM_SECONDS
    max_calm_seconds: float = MAX_CALM_SECONDS

    async def run(self, until: float) -> None:
        """Change until a time on trio's clock; return once the callers have ended."""
        draws = ChangeDraws(Random(self.random.random()))
        self._configure("first routes and accounts", draws.first())
        load = ChangeCallers(
            self.callers.entries,
            Random(self.random.random()),
            self.callers.ready_entries,
            calls=self.calls,
            name_prefix="a",
            switch_share=SWITCH_SHARE,
            reconnect_share=RECONNECT_SHARE,
            site=self.site,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, CALLER_COUNT)
            while trio.current_time() < until:
                await self._storm(draws, until)
                calm = self.random.uniform(self.min_calm_seconds, self.max_calm_seconds)
                await trio.sleep(min(calm, max(0.0, until - trio.current_time())))
            load.stop()
        self.callers.violations += load.violations

    async def _storm(self, draws: ChangeDraws, until: float) -> None:
        seconds = self.random.uniform(MIN_STORM_SECONDS, MAX_STORM_SECONDS)
        ends_at = min(until, trio.current_time() + seconds)
        while trio.current_time() < ends_at:
            for _ in range(self.random.randint(1, MAX_CHANGES_AT_ONCE)):
                kind, fields = draws.draw(self.site.configuration)
                if fields:
                    self._configure(kind, fields)
            if self.random.random() >= AT_ONCE_SHARE:
                await trio.sleep(self.random.uniform(0.0, MAX_CHANGE_INTERVAL_SECONDS))

    def _configure(self, kind: str, fields: dict[str, object]) -> None:
        version = self.site.configuration.version + self.random.randint(1, MAX_VERSION_STEP)
        self.log_fault(f"desired state {version}: {kind}")
        self.site.judged["changes under callers"] += 1
        self.site.configure(version=version, **fields)
