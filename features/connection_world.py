"""Helpers of the steps: limits, a virtual clock, reading to the end, reproducible properties."""

import trio
from hypothesis import HealthCheck, Phase, settings
from trio.testing import MockClock

from deckcourse.gateway.desired import CallerBounds

BOUNDS = CallerBounds(header_bytes=1000, body_bytes=1000, header_seconds=1.0, idle_seconds=5.0)


def virtually(work):
    """Run an async function on a virtual clock, with the same task order on every run."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(0)
    return trio.run(work, clock=MockClock(autojump_threshold=0))


async def read_until_end(stream):
    """Return all bytes received on a connection until the peer closes it."""
    data = b""
    while part := await stream.receive_some(65536):
        data += part
    return data


def reproducible(count):
    """Return settings that check a property with `count` cases, the same ones on every run."""
    return settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )
