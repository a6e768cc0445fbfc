"""Baselines that the router's own policies are measured against; not for serving."""

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
    """Takes the replicas of each stage in turn."""

    def __init__(self, membership: Membership, random: Random) -> None:
        super().__init__(membership, random)
        self._turn = count()

    def _pick(
        self, configuration: Configuration, options: Sequence[Placement], source: str
    ) -> Placement:
        return options[next(self._turn) % len(options)]


class LeastInFlightRouter(Router):
    """Takes the replica with the fewest streams of this entry."""

    def _pick(
        self, configuration: Configuration, options: Sequence[Placement], source: str
    ) -> Placement:
        return min(options, key=lambda each: self.in_flight.get(each.instance, 0))


class NoAdmission(Admission):
    """Lets everything in at once."""

    async def enter(self, request: AdmissionRequest) -> NotRun | None:
        """Let the request run."""
        self._running += 1
        return None
