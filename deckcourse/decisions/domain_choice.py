"""The choice of the failure domain that serves a request, by predicted times.

Load pattern: a failure domain loses a copy, or gets most of the callers, while others have capacity
to spare. Its own reports lag behind: requests that were interrupted there restart in the following
second. Hundreds of processes decide on reports that are some 0.4 s old, so if each moved all its
requests at once, the other domains would be overfilled, and all would return together.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from deckcourse.decisions.path_forecast import PathForecast

__all__ = [
    "DomainOutlook",
    "InterruptedStreams",
    "Outflow",
    "RouteLimits",
    "choose_domain",
    "free_share",
    "strain_of",
]

# A request leaves its domain when a predicted time is above this share of what its route allows.
# A caller counts each pause, and the forecast is of the usual one: the rest is for longer ones.
LEAVE_STRAIN = 0.8
# Below this share of the allowed times, requests return fast, and slowly above it: with one
# threshold for both directions, the requests that return would be the reason to leave again.
RETURN_STRAIN = 0.6
# How fast the share of requests that leave falls below and above that, per second, and how fast it
# rises again if the domain is strained before all have returned. Reports show a request after 0.6 s
# at most, so less than a fifth returns before the first of them is seen.
FAST_RETURN = 0.3
SLOW_RETURN = 0.1
RENEWED_RISE = 1.0
# Predicted first events that differ by less than this share count as equal. Reports change by as
# much within their age; choosing the lowest would send all processes to the same domain.
NEAR_SHARE = 0.15
# Bound on the weight of a domain in a draw: what is free is infinite where nothing limits it.
MAX_WEIGHT = 1e6
# Time from the loss of an upstream in which all its streams count as restarting in their domain,
# and in which the last of them shows in reports: streams restart after 0.2 to 0.3 s, wait up to
# 0.2 s for prefill and are reported up to 0.85 s later.
RESTART_SECONDS = 0.5
MAX_RESTART_SECONDS = 1.5


@dataclass(frozen=True)
class RouteLimits:
    """What a route allows, seconds; 0 for no limit.

    Attributes:
      objective: the time to the first event.
      max_pause: the pause between two events.
    """

    objective: float
    max_pause: float = 0.0


@dataclass(frozen=True)
class DomainOutlook:
    """What a failure domain offers to a request.

    Attributes:
      domain: its name.
      forecast: the predicted times on its best path.
      free: the streams that it can take in addition, such that all of them meet the route.
    """

    domain: str
    forecast: PathForecast
    free: float = 0.0


def strain_of(forecast: PathForecast, limits: RouteLimits) -> float:
    """Return the larger of the predicted times relative to what the route allows; 1 just meets."""
    strain = forecast.first_event / limits.objective if limits.objective else 0.0
    return max(strain, forecast.pause / limits.max_pause if limits.max_pause else 0.0)


def choose_domain(
    own: DomainOutlook | None,
    others: Sequence[DomainOutlook],
    limits: RouteLimits,
    random: Random,
) -> DomainOutlook | None:
    """Return the domain for a request that has no room to spare in its own domain.

    Its own domain comes first among those that meet the route, unless another has room to spare.
    If none meets it, the soonest is chosen, and its own if that is nearly as soon.

    Args:
      own: its own domain, None if that lacks a layer.
      others: the other domains with a complete path.
      limits: what its route allows.
      random: draws between nearly equal domains, by their free capacity.
    """
    own_strain = strain_of(own.forecast, limits) if own is not None else float("inf")
    spare = [
        each
        for each in others
        if each.free > 0 and strain_of(each.forecast, limits) < min(LEAVE_STRAIN, own_strain)
    ]
    if spare:
        return _draw_soonest(spare, random)
    if own is not None and own_strain <= 1.0:
        return own
    meeting = [each for each in others if strain_of(each.forecast, limits) <= 1.0]
    soonest = _draw_soonest(meeting or others, random)
    if own is None or soonest is None or meeting:
        return soonest or own
    is_sooner = soonest.forecast.first_event < own.forecast.first_event * (1.0 - NEAR_SHARE)
    return soonest if is_sooner else own


def _draw_soonest(outlooks: Sequence[DomainOutlook], random: Random) -> DomainOutlook | None:
    """Return one of the soonest domains; those with more free capacity are drawn more often."""
    if not outlooks:
        return None
    first = min(each.forecast.first_event for each in outlooks)
    near = [each for each in outlooks if each.forecast.first_event * (1.0 - NEAR_SHARE) <= first]
    return random.choices(near, [min(max(each.free, 0.01), MAX_WEIGHT) for each in near])[0]


def free_share(free: float, requests: float) -> float:
    """Return the share of requests that may leave their domain.

    Args:
      free: the streams that the other domains can take in addition.
      requests: those that all processes may send before the reports show them.
    """
    return min(1.0, free / max(requests, 1e-9))


@dataclass(frozen=True)
class Outflow:
    """The share of a process's requests that should leave its failure domain, 0 to 1."""

    share: float = 0.0
    at: float = 0.0

    def next(self, strain: float, now: float) -> "Outflow":
        """Return the outflow for the current strain of the domain.

        The first time it rises at once, since the callers are late already.

        Args:
          strain: the lowest strain among the domain's paths; infinite if it has none.
          now: the current time, seconds.
        """
        if strain > LEAVE_STRAIN:
            risen = self.share + RENEWED_RISE * (now - self.at) if self.share else 1.0
            return Outflow(min(1.0, risen), now)
        rate = SLOW_RETURN if strain > RETURN_STRAIN else FAST_RETURN
        return Outflow(max(0.0, self.share - rate * (now - self.at)), now)


@dataclass(frozen=True)
class _Loss:
    """Streams that were interrupted at one time, by whether they must begin again."""

    at: float
    restarted: float
    moved: float


class InterruptedStreams:
    """The streams of a failure domain that were interrupted and don't show in its reports yet."""

    def __init__(self) -> None:
        self._losses: list[_Loss] = []
        # The streams of the domain when the first of the losses was seen.
        self._total = 0.0

    def note(self, restarted: float, moved: float, total: float, now: float) -> None:
        """Record interrupted streams.

        Args:
          restarted: streams whose first upstream is gone; they begin on other paths.
          moved: streams whose later upstream is gone; their prompts are processed again.
          total: all streams of the domain before the loss.
          now: the current time, seconds.
        """
        if restarted + moved <= 0:
            return
        self._forget(now)
        # Upstreams of one copy are found lost one after the other, each with the same streams.
        self._total = max(total, self._total) if self._losses else total
        self._losses.append(_Loss(now, restarted, moved))

    def restarting(self, now: float) -> float:
        """Return how many streams begin again in the domain beside those that it reports."""
        return self._sum(now, lambda each: each.restarted)

    def prefilling(self, now: float) -> float:
        """Return of how many streams the tokens so far are processed again."""
        return self._sum(now, lambda each: each.restarted + each.moved)

    def _sum(self, now: float, streams: Callable[[_Loss], float]) -> float:
        self._forget(now)
        window = MAX_RESTART_SECONDS - RESTART_SECONDS
        counted = [
            streams(each) * min(1.0, (each.at + MAX_RESTART_SECONDS - now) / window)
            for each in self._losses
        ]
        return min(self._total, sum(counted))

    def _forget(self, now: float) -> None:
        self._losses = [each for each in self._losses if now - each.at < MAX_RESTART_SECONDS]
