"""The slots of a stand-in runner: how many requests it works on, and how many wait."""

import trio

__all__ = ["Slots"]


class Slots:
    """Slots for requests, with a queue of the same length.

    Args:
      count: the number of slots.
    """

    def __init__(self, count: int) -> None:
        self._slots = trio.Semaphore(count)
        self._max_waiting = count
        self._waiting = 0

    @property
    def is_full(self) -> bool:
        """Whether all slots are taken."""
        return self._slots.value == 0

    async def acquire(self) -> bool:
        """Wait for a slot; return False at once if too many wait."""
        if self.is_full and self._waiting >= self._max_waiting:
            return False
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        return True

    def release(self) -> None:
        """Release a slot."""
        self._slots.release()
