"""Notices in the answers of a stand-in runner: a backoff, a rate limit or its shutdown.

They are controlled by orders on standard input: `{"backoff": SECONDS, "seconds": SECONDS}` makes
the runner refuse requests for `seconds` and ask for the backoff with each refusal;
`{"leaving": true}` makes all its answers announce its shutdown, `{"draining": true}` its row too;
`{"limit": RATE}` makes them announce a rate limit, or none if RATE is empty.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

import trio

from deckcourse.http1.message import Headers

__all__ = ["FROM", "Notices", "start_name"]

# The header of an answer that names the incarnation of the runner that sent it.
FROM = b"x-soak-from"

# For this time answers to control queries don't announce a shutdown. Otherwise entries would nearly
# always learn of it from these and never from an answer to a client.
QUIET_SECONDS = 0.8


def start_name(instance: str, born: int) -> str:
    """Return the name of one incarnation of a runner, the value of INCARNATION_HEADER."""
    return f"{instance}@{born}"


@dataclass
class Notices:
    """The current notices of a runner; `write_record` writes a line of its record."""

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
        """The notices in answers to client requests."""
        return (*self._limit_headers, *self._leaving_headers)

    @property
    def control_headers(self) -> Headers:
        """The notices in answers to control queries and orders, with a delayed shutdown notice."""
        is_quiet = trio.current_time() < self.quiet_until
        return self._limit_headers if is_quiet else self.headers

    @property
    def _leaving_headers(self) -> Headers:
        return ((b"server-leaving", b"1"),) if self.leaving else ()

    @property
    def _limit_headers(self) -> Headers:
        """The announced rate limit; each change of it is recorded."""
        if self.limit != self.has_named:
            self.has_named = self.limit
            named = float(self.limit) if self.limit else None
            self.tell(named=named, clock=time.monotonic())
        return ((b"server-limit", self.limit.encode()),) if self.limit else ()

    @property
    def state(self) -> str:
        """The state in the runner's row."""
        return "draining" if self.draining else "ready"

    def take(self, order: dict) -> bool:
        """Apply an order; return False if it isn't one for notices."""
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
        """Record a client request with the time of the clock that all processes share."""
        self.tell(arrived=request, clock=time.monotonic())

    def was_asked(self) -> None:
        """Record a control query or an order."""
        self.tell(question=True, clock=time.monotonic())

    def refusal(self, request: str) -> Headers | None:
        """Return the headers of a refusal and record its backoff, or None if none is active."""
        if trio.current_time() >= self.refuses_until:
            return None
        self.tell(asked=request, seconds=self.backoff, clock=time.monotonic())
        asks = (b"retry-after", f"{self.backoff:.2f}".encode())
        return ((b"x-not-executed", b"1"), asks, *self.headers)
