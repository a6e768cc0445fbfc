"""Checks that entries which are stopped together say soon that they are not ready.

An entry counts as ready unless it misses two questions in a row, which come once a second.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import trio

from soak.site import Site

__all__ = ["StopObservation", "find_still_ready", "observe_stop"]

QUESTION_INTERVAL_SECONDS = 1.0
# What the platform allows: this long after SIGTERM fewer entries than this many, or no larger share
# of those that were ready when it came, run and count as ready.
JUDGED_SECONDS = 4.0
MIN_STILL_READY = 2
MAX_STILL_READY_SHARE = 1 / 4


@dataclass(frozen=True)
class StopObservation:
    """What was seen of entries that were stopped together.

    Args:
      ready_before: the names of those that were ready when SIGTERM came.
      answers: whether each said that it was ready, for each question in turn.
      running: the names of those that still ran at the last question.
    """

    ready_before: frozenset[str]
    answers: Mapping[str, Sequence[bool]]
    running: frozenset[str]


async def observe_stop(site: Site, ready_before: frozenset[str]) -> StopObservation:
    """Ask the entries of a site that have just been stopped; return after JUDGED_SECONDS."""
    stopped_at = trio.current_time()
    answers: dict[str, list[bool]] = {each.name: [] for each in site.entries}
    for number in range(1, round(JUDGED_SECONDS / QUESTION_INTERVAL_SECONDS) + 1):
        await trio.sleep_until(stopped_at + number * QUESTION_INTERVAL_SECONDS)
        async with trio.open_nursery() as nursery:
            for each in site.entries:
                nursery.start_soon(_ask, site, each.name, answers)
    running = frozenset(each.name for each in site.entries if each.process.poll() is None)
    return StopObservation(ready_before, answers, running)


async def _ask(site: Site, name: str, answers: Mapping[str, list[bool]]) -> None:
    (entry,) = [each for each in site.entries if each.name == name]
    answers[name].append(await site.ready(entry))


def find_still_ready(seen: StopObservation) -> list[str]:
    """Return a violation if too many entries count as ready at the last question."""
    still_ready = sorted(
        name for name in seen.ready_before & seen.running if any(seen.answers[name][-2:])
    )
    is_allowed = len(still_ready) < MIN_STILL_READY or len(
        still_ready
    ) <= MAX_STILL_READY_SHARE * len(seen.ready_before)
    return [] if is_allowed else [f"{still_ready} are ready {JUDGED_SECONDS} s after SIGTERM"]
