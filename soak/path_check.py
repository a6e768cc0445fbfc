"""Checks before a stream starts that the runners on its path hold the layers of their stages."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

__all__ = ["PathCheck", "PathRefusal", "RunningStream"]

# Response statuses for a stage whose layers its runner doesn't hold and for a runner that doesn't
# answer.
NOT_HELD_STATUS = 421
NO_ANSWER_STATUS = 503
# How long a stream waits for an unavailable runner before it is refused or, once started, aborted.
STALL_TIMEOUT_SECONDS = 2.5
QUERY_TIMEOUT_SECONDS = 1.0
# The delay before a query is retried and the interval at which the path is rechecked.
RETRY_INTERVAL_SECONDS = 0.1

# The address of a runner, the first layer of its stage and the layer after the last one.
Stage = tuple[str, int, int]


@dataclass
class RunningStream:
    """A stream that has started or is waiting to start, and its current path.

    A repath order replaces `path`. `waits_for` is the address of the runner that the stream waits
    for and the time at which the wait began, or None if it isn't waiting.
    """

    path: list[Stage]
    waits_for: tuple[str, float] | None = None


@dataclass(frozen=True)
class PathRefusal:
    """The response status of a refusal and the address of the runner that caused it."""

    status: int
    address: str


class PathCheck:
    """Queries the runners on a path for the layers that they hold.

    A missing answer doesn't mean that layers aren't held, because a busy runner may answer late.

    Args:
      fetch_held_range: returns the layers that a runner holds, or None if it doesn't answer within
        the timeout.
    """

    def __init__(
        self, fetch_held_range: Callable[[str, float], Awaitable[tuple[int, int] | None]]
    ) -> None:
        self._fetch_held_range = fetch_held_range

    async def find_refusal(self, stream: RunningStream) -> PathRefusal | None:
        """Return why a stream can't start, or None once every stage is held."""
        deadline = trio.current_time() + STALL_TIMEOUT_SECONDS
        while True:
            path = stream.path
            held_ranges = _HeldRanges()
            async with trio.open_nursery() as nursery:
                for address, _, _ in path:
                    nursery.start_soon(self._query, address, held_ranges)
                refusal = await _wait_for_result(stream, path, held_ranges, deadline)
                nursery.cancel_scope.cancel()
            if stream.path is path:
                stream.waits_for = None
                return refusal

    async def _query(self, address: str, held_ranges: "_HeldRanges") -> None:
        """Query a runner until it answers."""
        while (held := await self._fetch_held_range(address, QUERY_TIMEOUT_SECONDS)) is None:
            await trio.sleep(RETRY_INTERVAL_SECONDS)
        held_ranges.add(address, held)


class _HeldRanges:
    """The layer ranges that runners have reported, by address."""

    def __init__(self) -> None:
        self.by_address: dict[str, tuple[int, int]] = {}
        self._changed = trio.Event()

    def add(self, address: str, held: tuple[int, int]) -> None:
        self.by_address[address] = held
        self._changed.set()

    async def wait_for_change(self, timeout: float) -> None:
        """Wait until a range is added or the timeout expires."""
        with trio.move_on_after(timeout):
            await self._changed.wait()
        self._changed = trio.Event()


async def _wait_for_result(
    stream: RunningStream, path: list[Stage], held_ranges: _HeldRanges, deadline: float
) -> PathRefusal | None:
    """Return a refusal, or None once all stages are held or the path has been replaced."""
    while stream.path is path:
        for address, first, end in path:
            held = held_ranges.by_address.get(address)
            if held is not None and not held[0] <= first < end <= held[1]:
                return PathRefusal(NOT_HELD_STATUS, address)
        missing = [address for address, _, _ in path if address not in held_ranges.by_address]
        if not missing:
            return None
        now = trio.current_time()
        if now > deadline:
            return PathRefusal(NO_ANSWER_STATUS, missing[0])
        if stream.waits_for is None or stream.waits_for[0] not in missing:
            stream.waits_for = missing[0], now
        await held_ranges.wait_for_change(RETRY_INTERVAL_SECONDS)
    return None
