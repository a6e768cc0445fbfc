"""Runners that ask for a backoff, announce their shutdown in their answers, or do both."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from soak.site import RunnerProcess, Site

__all__ = ["Holds", "NoticeFaults"]

# The time between two of these faults. Most last longer, so that they overlap.
SHORTEST_GAP_SECONDS = 0.3
LONGEST_GAP_SECONDS = 1.5
# The backoff that a refusal asks for, and how long requests are refused; either may be the longer
# one.
SHORTEST_BACKOFF_SECONDS = 0.6
LONGEST_BACKOFF_SECONDS = 3.0
LONGEST_REFUSING_SECONDS = 2.0
# How long a leaving runner continues to serve; the share whose row announces it as well, halfway.
SHORTEST_LEAVING_SECONDS = 1.0
LONGEST_LEAVING_SECONDS = 2.5
DRAINING_SHARE = 0.6
# Each domain of four runners can heal one that is lost.
MOST_LEAVING = 1
# The share of leaving runners that also ask for a backoff.
BOTH_SHARE = 0.3


@dataclass
class Holds:
    """Records when processes were paused or links were cut, which excuses late arrivals.

    `spans` are (name, begin, end), `moments` are the resets as (name, time), on trio's clock.
    """

    spans: list[tuple[str, float, float]] = field(default_factory=list)
    moments: list[tuple[str, float]] = field(default_factory=list)

    def note(self, name: str, seconds: float) -> None:
        """Record that a process is paused or a link is cut from now on."""
        now = trio.current_time()
        self.spans.append((name, now, now + seconds))

    def note_moment(self, name: str) -> None:
        """Record that connections are reset now."""
        self.moments.append((name, trio.current_time()))

    def touch(self, name: str, begin: float, end: float) -> bool:
        """Return whether an interruption of `name` overlaps the time from `begin` to `end`."""
        return any(who == name and a < end and b > begin for who, a, b in self.spans)

    def moment_in(self, name: str, begin: float, end: float) -> bool:
        """Return whether connections of `name` were reset between `begin` and `end`."""
        return any(who == name and begin <= at <= end for who, at in self.moments)


class NoticeFaults:
    """Makes runners send notices, chosen independently of the other faults.

    Args:
      site: the site whose runners send notices.
      random: chooses the notices, the runners and the durations.
      log_fault: called with a description of each notice.
      interruptions: where restarts are recorded.
    """

    def __init__(
        self, site: Site, random: Random, say: Callable[[str], None], holds: Holds
    ) -> None:
        self._site = site
        self._random = random
        self._say = say
        self._holds = holds
        self._leaving: set[str] = set()

    async def run(self, until: float) -> None:
        """Inject notices until a time on trio's clock; return once all runners are restarted."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(self._random.choice((self._ask, self._ask, self._leave)))
                gap = self._random.uniform(SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS)
                await trio.sleep(gap)

    async def _ask(self) -> None:
        self._let_ask(self._random.choice(self._site.runners))

    def _let_ask(self, runner: RunnerProcess) -> None:
        backoff = self._random.uniform(SHORTEST_BACKOFF_SECONDS, LONGEST_BACKOFF_SECONDS)
        seconds = self._random.uniform(0.1, LONGEST_REFUSING_SECONDS)
        self._say(
            f"runner {runner.spec.instance} refuses for {seconds:.1f} s, backoff of {backoff:.1f} s"
        )
        self._site.tell_runner(runner, backoff=round(backoff, 2), seconds=seconds)

    async def _leave(self) -> None:
        free = [each for each in self._site.runners if each.spec.instance not in self._leaving]
        runner = self._random.choice(free)
        seconds = self._random.uniform(SHORTEST_LEAVING_SECONDS, LONGEST_LEAVING_SECONDS)
        drains = self._random.random() < DRAINING_SHARE
        both = self._random.random() < BOTH_SHARE
        if len(self._leaving) >= MOST_LEAVING:
            return
        name, process = runner.spec.instance, runner.process
        self._leaving.add(name)
        self._say(
            f"runner {name} leaves within {seconds:.1f} s, row {'' if drains else 'never '}says"
        )
        self._site.tell_runner(runner, leaving=True)
        if both:
            self._let_ask(runner)
        await trio.sleep(seconds / 2)
        if drains:
            self._site.tell_runner(runner, draining=True)
        await trio.sleep(seconds / 2)
        # Another fault may have killed it in the meantime and will restart it. A second process for
        # the same runner would exit at once, since its port is in use.
        if runner.process is process and process.poll() is None:
            self._holds.note_moment(name)
            process.kill()
            self._site.start_runner(runner)
        self._leaving.discard(name)
