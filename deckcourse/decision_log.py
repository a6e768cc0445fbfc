"""Decisions as JSON lines on standard output, bounded and never waited for.

A line that finds no room where lines go, or comes beyond the bound, is counted by its kind; the
counts are written as a line of their own once there is room again.
"""

import os
from collections import Counter
from collections.abc import Callable
from time import monotonic, time

import msgspec
from eliot import add_destinations, log_message, remove_destination

__all__ = ["DecisionLog"]

# Lines that one process writes in a second at the most, and what it may write at once.
LINES_PER_SECOND = 100.0
LINES_AT_ONCE = 400.0
# The file descriptor of standard output.
STANDARD_OUTPUT = 1
# The kind of the line that tells how many lines of each kind were left out.
SUMMARY = "log-bound"
# Fields that eliot adds to a message and that say nothing here.
_ELIOT_FIELDS = frozenset({"task_uuid", "task_level", "timestamp"})


class DecisionLog:
    """Writes one line for each decision.

    Args:
      node: the name that each line carries.
      descriptor: where lines go; set to non-blocking by `start`.
      clock: seconds; the bound on lines is counted by it.
    """

    def __init__(
        self, node: str, descriptor: int = STANDARD_OUTPUT, clock: Callable[[], float] = monotonic
    ) -> None:
        self._node = node
        self._descriptor = descriptor
        self._clock = clock
        self._allowance = LINES_AT_ONCE
        self._at = clock()
        self._left_out: Counter[str] = Counter()
        self._rest = b""

    @property
    def left_out(self) -> dict[str, int]:
        """How many lines of each kind were not written since the last summary."""
        return dict(self._left_out)

    def start(self) -> None:
        """Take eliot's messages from now on, and never wait for the reader of the output."""
        os.set_blocking(self._descriptor, False)
        add_destinations(self._write)

    def stop(self) -> None:
        """Take no more of eliot's messages."""
        remove_destination(self._write)

    def log(self, decision: str, /, **fields: object) -> None:
        """Write one decision, with the inputs that decided it."""
        now = self._clock()
        self._allowance = min(LINES_AT_ONCE, self._allowance + (now - self._at) * LINES_PER_SECOND)
        self._at = now
        if self._allowance < 1.0 or not self._flush():
            self._left_out[decision] += 1
            return
        if self._left_out:
            left_out = dict(self._left_out)
            self._left_out.clear()
            self._emit(SUMMARY, left_out=left_out)
        self._emit(decision, **fields)

    def _emit(self, decision: str, /, **fields: object) -> None:
        self._allowance -= 1.0
        log_message(message_type=decision, node=self._node, at=round(time(), 3), **fields)

    def _write(self, message: dict[str, object]) -> None:
        kept = {name: value for name, value in message.items() if name not in _ELIOT_FIELDS}
        self._rest += msgspec.json.encode(kept, enc_hook=str) + b"\n"
        self._flush()

    def _flush(self) -> bool:
        """Write what is left over; return whether nothing is."""
        try:
            while self._rest:
                self._rest = self._rest[os.write(self._descriptor, self._rest) :]
        except OSError:
            # No room, or nobody reads any more. Were the rest of a line dropped, the next one would
            # stand behind the half that has left.
            return False
        return True
