"""Runners that ask for time without requests, leave by word of their answers, or do both."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from soak.site import RunnerProcess, Site

__all__ = ["Holds", "NoticeFaults"]

# Between two of these faults, seconds; most last longer, so that they overlap.
SHORTEST_GAP_SECONDS = 0.3
LONGEST_GAP_SECONDS = 1.5
# What a refusal asks for, and for how long requests are refused, seconds: some longer than others.
SHORTEST_BACKOFF_SECONDS = 0.6
LONGEST_BACKOFF_SECONDS = 3.0
LONGEST_REFUSING_SECONDS = 2.0
# How long one that leaves serves on, and when its row says so too, if ever, seconds.
SHORTEST_LEAVING_SECONDS = 1.0
LONGEST_LEAVING_SECONDS = 2.5
DRAINING_SHARE = 0.6
# Of the runners of layers, so many leave at once at the most: each domain of four can heal one.
MOST_LEAVING = 1
# The share of those that leave which ask for time as well.
BOTH_SHARE = 0.3


@dataclass
class Holds:
    """When processes stood still or links were cut: what was on its way then proves nothing.

    `spans` are (name, from, until), `moments` (name, at), on trio's clock.
    """

    spans: list[tuple[str, float, float]] = field(default_factory=list)
    moments: list[tuple[str, float]] = field(default_factory=list)

    def note(self, name: str, seconds: float) -> None:
        """Note that something of a name stands still from now on for so long."""
        now = trio.current_time()
        self.spans.append((name, now, now + seconds))

    def note_moment(self, name: str) -> None:
        """Note that connections of a name are reset now."""
        self.moments.append((name, trio.current_time()))

    def touch(self, name: str, begin: float, end: float) -> bool:
        """Return whether anything of a name stood still at some time between two moments."""
        return any(who == name and a < end and b > begin for who, a, b in self.spans)

    def moment_in(self, name: str, begin: float, end: float) -> bool:
        """Return whether connections of a name were reset between two moments."""
        return any(who == name and begin <= at <= end for who, at in self.moments)


class NoticeFaults:
    """Lets runners of a site ask for things, drawn apart from other faults, which go on beside.

    Args:
      site: whose runners.
      random: draws what, whom and for how long.
      say: told of each.
      holds: where restarts are noted.
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
        """Go on until a moment of trio's clock; return once everybody is back."""
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
            f"runner {runner.spec.instance} refuses for {seconds:.1f} s, asks for {backoff:.1f} s"
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
        # Another fault may have ended it meanwhile, and then starts it again: a second process for
        # one place ended at once, since its port was taken.
        if runner.process is process and process.poll() is None:
            self._holds.note_moment(name)
            process.kill()
            self._site.start_runner(runner)
        self._leaving.discard(name)
