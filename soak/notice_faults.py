"""Runners that ask for a backoff, announce their shutdown in their answers, or do both."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from soak.site import RunnerProcess, Site

__all__ = ["Interruptions", "NoticeFaults"]

# The time between two of these faults. Most last longer, so that they overlap.
MIN_FAULT_INTERVAL_SECONDS = 0.3
MAX_FAULT_INTERVAL_SECONDS = 1.5
# The backoff that a refusal asks for, and how long requests are refused; either may be the longer
# one.
MIN_BACKOFF_SECONDS = 0.6
MAX_BACKOFF_SECONDS = 3.0
MAX_REFUSAL_SECONDS = 2.0
# How long a leaving runner continues to serve; the share whose row announces it as well, halfway.
MIN_LEAVING_SECONDS = 1.0
MAX_LEAVING_SECONDS = 2.5
DRAINING_SHARE = 0.6
# Each domain of four runners can heal one that is lost.
MAX_LEAVING_RUNNERS = 1
# The share of leaving runners that also ask for a backoff.
LEAVING_BACKOFF_SHARE = 0.3


@dataclass
class Interruptions:
    """Records when processes were paused or links were cut, which excuses late arrivals.

    `spans` are (name, begin, end), `resets` are (name, time), on trio's clock.
    """

    spans: list[tuple[str, float, float]] = field(default_factory=list)
    resets: list[tuple[str, float]] = field(default_factory=list)

    def record(self, name: str, seconds: float) -> None:
        """Record that a process is paused or a link is cut from now on."""
        now = trio.current_time()
        self.spans.append((name, now, now + seconds))

    def record_reset(self, name: str) -> None:
        """Record that connections are reset now."""
        self.resets.append((name, trio.current_time()))

    def overlaps(self, name: str, begin: float, end: float) -> bool:
        """Return whether an interruption of `name` overlaps the time from `begin` to `end`."""
        return any(
            other == name and first < end and last > begin for other, first, last in self.spans
        )

    def was_reset(self, name: str, begin: float, end: float) -> bool:
        """Return whether connections of `name` were reset between `begin` and `end`."""
        return any(other == name and begin <= at <= end for other, at in self.resets)


class NoticeFaults:
    """Makes runners send notices, chosen independently of the other faults.

    Args:
      site: the site whose runners send notices.
      random: chooses the notices, the runners and the durations.
      log_fault: called with a description of each notice.
      interruptions: where restarts are recorded.
    """

    def __init__(
        self,
        site: Site,
        random: Random,
        log_fault: Callable[[str], None],
        interruptions: Interruptions,
    ) -> None:
        self._site = site
        self._random = random
        self._log_fault = log_fault
        self._interruptions = interruptions
        self._leaving: set[str] = set()

    async def run(self, until: float) -> None:
        """Inject notices until a time on trio's clock; return once all runners are restarted."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(
                    self._random.choice((self._back_off, self._back_off, self._leave))
                )
                interval = self._random.uniform(
                    MIN_FAULT_INTERVAL_SECONDS, MAX_FAULT_INTERVAL_SECONDS
                )
                await trio.sleep(interval)

    async def _back_off(self) -> None:
        self._order_backoff(self._random.choice(self._site.runners))

    def _order_backoff(self, runner: RunnerProcess) -> None:
        backoff = self._random.uniform(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        seconds = self._random.uniform(0.1, MAX_REFUSAL_SECONDS)
        self._log_fault(
            f"runner {runner.spec.instance} refuses for {seconds:.1f} s, backoff of {backoff:.1f} s"
        )
        self._site.send_order(runner, backoff=round(backoff, 2), seconds=seconds)

    async def _leave(self) -> None:
        candidates = [
            each for each in self._site.runners if each.spec.instance not in self._leaving
        ]
        runner = self._random.choice(candidates)
        seconds = self._random.uniform(MIN_LEAVING_SECONDS, MAX_LEAVING_SECONDS)
        announces_draining = self._random.random() < DRAINING_SHARE
        also_backs_off = self._random.random() < LEAVING_BACKOFF_SHARE
        if len(self._leaving) >= MAX_LEAVING_RUNNERS:
            return
        name, process = runner.spec.instance, runner.process
        self._leaving.add(name)
        self._log_fault(
            f"runner {name} leaves within {seconds:.1f} s,"
            f" row {'' if announces_draining else 'never '}draining"
        )
        self._site.send_order(runner, leaving=True)
        if also_backs_off:
            self._order_backoff(runner)
        await trio.sleep(seconds / 2)
        if announces_draining:
            self._site.send_order(runner, draining=True)
        await trio.sleep(seconds / 2)
        # Another fault may have killed it in the meantime and will restart it. A second process for
        # the same runner would exit at once, since its port is in use.
        if runner.process is process and process.poll() is None:
            self._interruptions.record_reset(name)
            self._site.disturbances.record(name)
            process.kill()
            self._site.start_runner(runner)
        self._leaving.discard(name)
