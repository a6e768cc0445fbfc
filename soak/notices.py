"""What a stand-in of a runner asks for in its answers: a pause, a request rate, or that it leaves.

Told on its standard input: `{"backoff": SECONDS, "seconds": SECONDS}` makes it turn requests away
for so long and ask for the first time with each refusal; `{"leaving": true}` makes all its answers
say that it leaves, `{"draining": true}` its row too. `{"limit": RATE}` makes them name a rate
limit, none where it is empty.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

import trio

from deckcourse.http1.message import Headers

__all__ = ["FROM", "Notices", "start_name"]

# The header by which an answer tells whoever gets it which start of a runner gave it.
FROM = b"x-soak-from"

# For so long questions are answered as of before one was leaving, seconds: else the entries would
# nearly always learn it by those, and never by a caller's answer.
QUIET_SECONDS = 0.8


def start_name(instance: str, born: int) -> str:
    """Return what one start of a runner is called in that header."""
    return f"{instance}@{born}"


@dataclass
class Notices:
    """What is asked for now; `tell` writes a line of the runner's record."""

    tell: Callable[..., None]
    backoff: float = 0.0
    refuses_until: float = 0.0
    leaving: bool = False
    draining: bool = False
    quiet_until: float = 0.0
    limit: str = ""
    has_named: str = ""

    @property
    def headers(self) -> Headers:
        """What the answers to callers' requests carry."""
        return (*self._limit_headers, *self._leaving_headers)

    @property
    def control_headers(self) -> Headers:
        """What the answers to questions and orders carry, which are of a moment ago."""
        is_quiet = trio.current_time() < self.quiet_until
        return self._limit_headers if is_quiet else self.headers

    @property
    def _leaving_headers(self) -> Headers:
        return ((b"server-leaving", b"1"),) if self.leaving else ()

    @property
    def _limit_headers(self) -> Headers:
        """The rate limit that is named; recorded where it is another one than before."""
        if self.limit != self.has_named:
            self.has_named = self.limit
            named = float(self.limit) if self.limit else None
            self.tell(named=named, clock=time.monotonic())
        return ((b"server-limit", self.limit.encode()),) if self.limit else ()

    @property
    def state(self) -> str:
        """What the row says of it."""
        return "draining" if self.draining else "ready"

    def take(self, order: dict) -> bool:
        """Obey an order; return whether it is one of these."""
        if "backoff" in order:
            self.backoff = order["backoff"]
            self.refuses_until = trio.current_time() + order["seconds"]
        elif "limit" in order:
            self.limit = order["limit"]
        elif "leaving" in order or "draining" in order:
            if not self.leaving:
                self.quiet_until = trio.current_time() + QUIET_SECONDS
            self.leaving = True
            self.draining = "draining" in order
        else:
            return False
        return True

    def arrived(self, request: str) -> None:
        """Record a caller's request, by the clock that all processes of the machine share."""
        self.tell(arrived=request, clock=time.monotonic())

    def was_asked(self) -> None:
        """Record a question or an order."""
        self.tell(question=True, clock=time.monotonic())

    def refusal(self, request: str) -> Headers | None:
        """Return the headers of a refusal and record what it asks for, None where none is due."""
        if trio.current_time() >= self.refuses_until:
            return None
        self.tell(asked=request, seconds=self.backoff, clock=time.monotonic())
        asks = (b"retry-after", f"{self.backoff:.2f}".encode())
        return ((b"x-not-executed", b"1"), asks, *self.headers)
