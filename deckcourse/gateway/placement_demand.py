"""Observes the demand on each group of upstreams, from the load reports of its first upstreams.

Load pattern: the streams of a failure domain need a fraction of the memory beside the weights, and
that fraction changes over hours. Every process sees the same reports, so that whichever plans next
decides for the same demand; without reports it uses the last demand, or the expected one.
"""

from collections.abc import Callable

from deckcourse.decisions.interruptions import NO_DEMAND, PlacementDemand
from deckcourse.decisions.smoothed_demand import SmoothedDemand
from deckcourse.layers.hosts import Group, domains_of
from deckcourse.settings import LoadSettings

__all__ = ["DemandWatch"]

# Interval between two samples of the running streams, seconds: load reports come every 0.4 s, and
# counting the streams of a domain visits each of its paths.
SAMPLE_INTERVAL_SECONDS = 1.0
# Bound on groups; a site has a few failure domains.
MAX_GROUPS = 64


class DemandWatch:
    """The demand on the groups of one service.

    Args:
      service: the name of the service.
      running_streams: returns how many streams run in some failure domains, None if unknown.
      settings: returns the weight of interrupted streams and the expected streams of a domain.
      clock: monotonic clock, seconds.
      gauge: sets a gauge by name.
      count: increments a counter by name.
      log: writes decision log entries.
    """

    def __init__(
        self,
        service: str,
        running_streams: Callable[[frozenset[str]], float | None],
        settings: Callable[[], LoadSettings],
        clock: Callable[[], float],
        gauge: Callable[[str, float], None],
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._service = service
        self._running_streams = running_streams
        self._settings = settings
        self._clock = clock
        self._gauge = gauge
        self._count = count
        self._log = log
        self._demands: dict[str, SmoothedDemand] = {}
        self._next_samples: dict[str, float] = {}

    def demand(self, group: Group) -> PlacementDemand:
        """Return the demand on a group, sampled at most once an interval."""
        settings = self._settings()
        if settings.interruption_weight <= 0.0:
            return NO_DEMAND
        now = self._clock()
        if now >= self._next_samples.get(group.name, 0.0):
            self._next_samples[group.name] = now + SAMPLE_INTERVAL_SECONDS
            self._sample(group, now)
        observed = self._demands.get(group.name)
        return PlacementDemand(
            settings.interruption_weight,
            observed.value if observed is not None else 0.0,
            settings.expected_streams * len(domains_of(group.name)),
        )

    def _sample(self, group: Group, now: float) -> None:
        streams = self._running_streams(domains_of(group.name))
        if streams is None:
            return
        while len(self._demands) >= MAX_GROUPS and group.name not in self._demands:
            dropped = next(iter(self._demands))
            del self._demands[dropped], self._next_samples[dropped]
        demand = self._demands.setdefault(group.name, SmoothedDemand())
        if demand.note(streams, now):
            self._gauge(f"placement.demand.{group.name}", demand.value)
            self._count("placement.demand-changed")
            self._log(
                "placement-demand",
                service=self._service,
                group=group.name,
                streams=demand.value,
                running=round(streams, 1),
            )
