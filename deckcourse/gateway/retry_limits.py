"""The platform's limits on retries, which hold for all processes together."""

from dataclasses import dataclass

__all__ = ["RetryLimits"]


@dataclass(frozen=True)
class RetryLimits:
    """The retry limits of all processes together at one service.

    In any `window` seconds, there may be `ratio` times the requests plus `slack` retries.
    """

    ratio: float = 0.2
    slack: float = 200.0
    window: float = 10.0
