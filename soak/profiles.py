"""What distinguishes the sites of the soak from each other, besides their faults."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["PROFILES", "USUAL", "Profile"]


@dataclass(frozen=True)
class Profile:
    """The routes and the streams of a site.

    The timeout of a route in `timeout_shares` is that share of the usual one; the routes in
    `max_attempts` allow so many upstreams. `event_interval_seconds` is the time between two events
    of a stream.
    """

    timeout_shares: Mapping[str, float] = field(default_factory=dict)
    max_attempts: Mapping[str, int] = field(default_factory=dict)
    event_interval_seconds: float = 0.02


USUAL = "usual"
PROFILES = {
    USUAL: Profile(),
    # Plain routes of 0.8 s and more, one of which allows a single attempt, beside streams of 2.4 s.
    "short-calls": Profile(
        timeout_shares={"once": 0.16, "again": 0.16},
        max_attempts={"stream": 2, "once": 1, "again": 2},
        event_interval_seconds=0.08,
    ),
}
