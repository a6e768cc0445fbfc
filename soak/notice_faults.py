"""Runners that ask for a backoff, announce their shutdown in their answers, or do both."""

from dataclasses import dataclass, field

import trio

from soak.site import RunnerProcess
from soak.trouble import SiteTrouble

__all__ = ["NoticeFaults"]

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
class NoticeFaults(SiteTrouble):
    """Makes runners send notices, chosen independently of the other faults."""

    _leaving: set[str] = field(default_factory=set)

    async def run(self, until: float) -> None:
        """Inject notices until a time on trio's clock; return once all runners are restarted."""
        await self.start_repeatedly(
            until,
            lambda: self.random.choice((self._back_off, self._back_off, self._leave)),
            MIN_FAULT_INTERVAL_SECONDS,
            MAX_FAULT_INTERVAL_SECONDS,
        )

    async def _back_off(self) -> None:
        self._order_backoff(self.random.choice(self.site.runners))

    def _order_backoff(self, runner: RunnerProcess) -> None:
        backoff = self.random.uniform(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        seconds = self.random.uniform(0.1, MAX_REFUSAL_SECONDS)
        self.log_fault(
            f"runner {runner.spec.instance} refuses for {seconds:.1f} s, backoff of {backoff:.1f} s"
        )
        self.site.send_order(runner, backoff=round(backoff, 2), seconds=seconds)

    async def _leave(self) -> None:
        candidates = [each for each in self.site.runners if each.spec.instance not in self._leaving]
        runner = self.random.choice(candidates)
        seconds = self.random.uniform(MIN_LEAVING_SECONDS, MAX_LEAVING_SECONDS)
        announces_draining = self.random.random() < DRAINING_SHARE
        also_backs_off = self.random.random() < LEAVING_BACKOFF_SHARE
        if len(self._leaving) >= MAX_LEAVING_RUNNERS:
            return
        name, process = runner.spec.instance, runner.process
        self._leaving.add(name)
        self.log_fault(
            f"runner {name} leaves within {seconds:.1f} s,"
            f" row {'' if announces_draining else 'never '}draining"
        )
        self.site.send_order(runner, leaving=True)
        if also_backs_off:
            self._order_backoff(runner)
        await trio.sleep(seconds / 2)
        if announces_draining:
            self.site.send_order(runner, draining=True)
        await trio.sleep(seconds / 2)
        # Another fault may have killed it in the meantime and will restart it. A second process for
        # the same runner would exit at once, since its port is in use.
        if runner.process is process and process.poll() is None:
            self.interruptions.record_reset(name)
            self.site.disturbances.record(name)
            process.kill()
            self.site.start_runner(runner)
        self._leaving.discard(name)
