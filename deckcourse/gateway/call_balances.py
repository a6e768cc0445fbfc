"""Balances plain calls over the upstreams of each service; see `decisions.call_balance`."""

from collections.abc import Callable, Sequence
from random import Random

from deckcourse.decisions.call_balance import CallBalance, draw_least_loaded
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import Upstream
from deckcourse.settings import LoadSettings

__all__ = ["CallBalances"]

# Calls waiting for each slot are scaled to an upstream with this many slots, as own calls are.
REFERENCE_SLOTS = 6.0


class CallBalances:
    """The balance of each plain service.

    Args:
      settings: returns the current settings for load that exceeds capacity.
      traffic: this process's share of all traffic.
      clock: returns monotonic seconds.
      random: draws between upstreams of about the same load.
    """

    def __init__(
        self,
        settings: Callable[[], LoadSettings],
        traffic: TrafficShare,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._settings = settings
        self._traffic = traffic
        self._clock = clock
        self._random = random
        self._balances: dict[str, CallBalance] = {}

    def record(self, service: str, instance: str, seconds: float) -> None:
        """Record how long an upstream took to answer a call."""
        if self._settings().domain_forecast:
            balance = self._balances.setdefault(service, CallBalance())
            balance.record(instance, seconds, self._clock())

    def choose(
        self,
        service: str,
        candidates: Sequence[Upstream],
        own_load: Callable[[Upstream], float],
        penalty: Callable[[Upstream, float], float] = lambda upstream, heaviest: 0.0,
    ) -> Upstream | None:
        """Return the upstream for a call, None if there are no candidates.

        Args:
          service: the name of the service.
          candidates: the upstreams that accept calls.
          own_load: returns the load of an upstream by this process's own calls.
          penalty: returns what its failures add to a load, from the largest load of a candidate.
        """
        if not self._settings().domain_forecast:
            own_loads = {each.instance: own_load(each) for each in candidates}
            heaviest = max(own_loads.values(), default=0.0)
            return min(
                candidates,
                key=lambda each: own_loads[each.instance] + penalty(each, heaviest),
                default=None,
            )
        balance = self._balances.setdefault(service, CallBalance())
        now = self._clock()
        # This process's own calls are in its own load already.
        others = REFERENCE_SLOTS * (1.0 - self._traffic.share)
        rows = {each.instance: each for each in candidates}
        loads = {
            name: own_load(each) + others * balance.queued_per_slot(name, now)
            for name, each in rows.items()
        }
        heaviest = max(loads.values(), default=0.0)
        loads = {name: load + penalty(rows[name], heaviest) for name, load in loads.items()}
        slots = {name: each.slots for name, each in rows.items()}
        chosen = draw_least_loaded(loads, slots, self._random)
        return rows[chosen] if chosen is not None else None
