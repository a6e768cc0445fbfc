"""The decision log: rate-limited JSON lines on standard output, written without blocking.

A line that exceeds the rate limit, or comes while the output accepts no more bytes, is dropped and
counted by its kind. The counts are written as a summary line once lines can be written again.
"""

import os
from collections import Counter
from collections.abc import Callable
from time import monotonic, time

import msgspec
from eliot import add_destinations, log_message, remove_destination

__all__ = ["DecisionLog"]

# Rate limit and burst size of the lines of one process.
MAX_LINES_PER_SECOND = 100.0
MAX_BURST_LINES = 400.0
STDOUT_DESCRIPTOR = 1
# The kind of the summary line, which holds the number of dropped lines of each kind.
SUMMARY_KIND = "log-bound"
# Fields that eliot adds to each message and that are not written.
_ELIOT_FIELDS = frozenset({"task_uuid", "task_level", "timestamp"})


class DecisionLog:
    """Writes one line for each decision.

    Args:
      node: the node's name, written in each line.
      descriptor: the file descriptor of the output; `start` makes it non-blocking.
      clock: returns the time for the rate limit, seconds.
    """

    def __init__(
        self, node: str, descriptor: int = STDOUT_DESCRIPTOR, clock: Callable[[], float] = monotonic
    ) -> None:
        self._node = node
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = MAX_BURST_LINES
        self._refilled_at = clock()
        self._left_out: Counter[str] = Counter()
        self._unwritten = b""

    @property
    def dropped_lines(self) -> dict[str, int]:
        """The number of lines of each kind that were dropped since the last summary line."""
        return dict(self._left_out)

    def start(self) -> None:
        """Write eliot's messages from now on, to an output made non-blocking."""
        os.set_blocking(self._descriptor, False)
        add_destinations(self._write)

    def stop(self) -> None:
        """Stop writing eliot's messages."""
        remove_destination(self._write)

    def log(self, decision: str, /, **fields: object) -> None:
        """Log a decision with the inputs that it was based on."""
        now = self._clock()
        self._tokens = min(
            MAX_BURST_LINES, self._tokens + (now - self._refilled_at) * MAX_LINES_PER_SECOND
        )
        self._refilled_at = now
        if self._tokens < 1.0 or not self._flush():
            self._left_out[decision] += 1
            return
        if self._left_out:
            left_out = dict(self._left_out)
            self._left_out.clear()
            self._emit(SUMMARY_KIND, left_out=left_out)
        self._emit(decision, **fields)

    def _emit(self, decision: str, /, **fields: object) -> None:
        self._tokens -= 1.0
        log_message(message_type=decision, node=self._node, at=round(time(), 3), **fields)

    def _write(self, message: dict[str, object]) -> None:
        entry = {name: value for name, value in message.items() if name not in _ELIOT_FIELDS}
        self._unwritten += msgspec.json.encode(entry, enc_hook=str) + b"\n"
        self._flush()

    def _flush(self) -> bool:
        """Write the buffered bytes; return whether all of them were written."""
        try:
            while self._unwritten:
                self._unwritten = self._unwritten[os.write(self._descriptor, self._unwritten) :]
        except OSError:
            # The output is full or closed. The rest of a partly written line stays buffered, or the
            # next line would be appended to its first part.
            return False
        return True
