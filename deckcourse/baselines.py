"""Baseline policies to compare the router's own with in experiments; not for production."""

from collections.abc import Sequence
from itertools import count
from random import Random

from deckcourse.admission import Admission, AdmissionRequest
from deckcourse.configuration import Configuration, Placement
from deckcourse.membership import Membership
from deckcourse.outcomes import NotRun
from deckcourse.router import Router

__all__ = ["LeastInFlightRouter", "NoAdmission", "RoundRobinRouter"]


class RoundRobinRouter(Router):
    """A router that picks placements in turn, with one counter for all stages."""

    def __init__(self, membership: Membership, random: Random) -> None:
        super().__init__(membership, random)
        self._pick_count = count()

    def _pick(
        self, configuration: Configuration, options: Sequence[Placement], source: str
    ) -> Placement:
        return options[next(self._pick_count) % len(options)]


class LeastInFlightRouter(Router):
    """A router that picks the placement with the fewest streams in flight from this entry."""

    def _pick(
        self, configuration: Configuration, options: Sequence[Placement], source: str
    ) -> Placement:
        return min(options, key=lambda each: self.in_flight.get(each.instance, 0))


class NoAdmission(Admission):
    """Admission control that admits every request immediately."""

    async def enter(self, request: AdmissionRequest) -> NotRun | None:
        """Admit the request."""
        self._running += 1
        return None
