"""The load of the upstreams of plain services, by which a call's upstream is chosen."""

from deckcourse.decisions.call_balance import failure_penalty
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable

__all__ = ["CallLoad"]

# Calls in flight are scaled to an upstream with this many slots, the number that both sites state.
REFERENCE_SLOTS = 6.0
# Calls in flight that an upstream in another failure domain counts as having in addition.
REMOTE_PENALTY = 0.5


class CallLoad:
    """Rates upstreams for the calls of one process.

    Args:
      upstreams: the upstreams that the process knows.
      domain: the failure domain of the process.
    """

    def __init__(self, upstreams: UpstreamTable, domain: str) -> None:
        self._upstreams = upstreams
        self._domain = domain

    def load(self, upstream: Upstream) -> float:
        """Return the load of an upstream, in calls in flight."""
        in_flight = self._upstreams.in_flight(upstream.instance)
        load = in_flight * REFERENCE_SLOTS / max(1, upstream.slots)
        if upstream.domain != self._domain:
            load += REMOTE_PENALTY
        return load

    def penalty(self, upstream: Upstream, heaviest: float) -> float:
        """Return what an upstream's failures add to its load; see `failure_penalty`."""
        share = self._upstreams.failure_share(upstream.instance)
        return failure_penalty(share, self._upstreams.in_flight(upstream.instance), heaviest)
