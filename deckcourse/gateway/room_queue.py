"""Grants room in memory to messages that are read whole, first come first served.

A message whose sender may stop gets room in steps, so that it holds little more than what came.
Such messages could hold all room together while each waits for more. One of them at a time gets
all that it may need even beyond the bound, so that it can be finished.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import trio

__all__ = ["RoomOwner", "RoomQueue", "RoomRequest"]


class RoomOwner(Protocol):
    """Has the room of one message; compared by identity."""


@dataclass(frozen=True, eq=False)
class RoomRequest:
    """A request for room.

    Attributes:
      owner: who gets it.
      size: the bytes that are needed now.
      rest: the bytes that the message may need until it is finished.
      is_growing: whether the owner has room already.
      on_granted: called with the bytes that are granted, by the task that grants them.
    """

    owner: RoomOwner
    size: int
    rest: int
    is_growing: bool
    on_granted: Callable[[int], None]
    granted: trio.Event = field(default_factory=trio.Event)


class RoomQueue:
    """The messages of one kind that have room, and those that wait for it.

    Args:
      fits: returns whether so many bytes may be granted beside what is held.
    """

    def __init__(self, fits: Callable[[int], bool]) -> None:
        self._fits = fits
        self._used = 0
        self._owners = 0
        self._exempt: RoomOwner | None = None
        self._growing: deque[RoomRequest] = deque()
        self._starting: deque[RoomRequest] = deque()

    @property
    def used(self) -> int:
        """The bytes that were granted and not given back."""
        return self._used

    @property
    def waiting(self) -> int:
        """The number of messages that wait."""
        return len(self._growing) + len(self._starting)

    def note_change(self, owner: RoomOwner, before: int, after: int) -> None:
        """Record that the room of an owner changed."""
        self._used += after - before
        self._owners += (after > 0) - (before > 0)
        if owner is self._exempt and not after:
            self._exempt = None

    def forget(self, owner: RoomOwner, room: int) -> None:
        """Give back the room of an owner that is being ended, and drop its request."""
        self.note_change(owner, room, 0)
        for waiting in (self._growing, self._starting):
            for request in [each for each in waiting if each.owner is owner]:
                waiting.remove(request)

    def try_acquire(self, request: RoomRequest) -> bool:
        """Grant room at once if no earlier request waits and there is enough."""
        if self._growing or (self._starting and not request.is_growing):
            return False
        return self._try_grant(request)

    async def acquire(self, request: RoomRequest) -> None:
        """Wait until there is room."""
        waiting = self._growing if request.is_growing else self._starting
        waiting.append(request)
        try:
            await request.granted.wait()
        finally:
            if not request.granted.is_set() and request in waiting:
                waiting.remove(request)

    def grant(self) -> None:
        """Grant what fits now: first to messages that have room, which they give back sooner."""
        for waiting in (self._growing, self._starting):
            while waiting and self._try_grant(waiting[0]):
                waiting.popleft()
            if waiting:
                return

    def _try_grant(self, request: RoomRequest) -> bool:
        size = request.size
        if not self._fits(size):
            # Alone, a message is read even if it exceeds the bound.
            may_exceed = self._exempt is None if request.is_growing else not self._owners
            if not may_exceed:
                return False
            if request.is_growing:
                self._exempt, size = request.owner, request.rest
        request.granted.set()
        request.on_granted(size)
        return True
