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

__all__ = ["INCARNATION_HEADER", "Notices", "incarnation_name"]

# The header of an answer that names the incarnation of the runner that sent it.
INCARNATION_HEADER = b"x-soak-from"

# For this time answers to control queries don't announce a shutdown. Otherwise entries would nearly
# always learn of it from these and never from an answer to a client.
CONTROL_NOTICE_DELAY_SECONDS = 0.8


def incarnation_name(instance: str, born: int) -> str:
    """Return the name of one incarnation of a runner, the value of INCARNATION_HEADER."""
    return f"{instance}@{born}"


@dataclass
class Notices:
    """The current notices of a runner; `write_record` writes a line of its record."""

    write_record: Callable[..., None]
    backoff_seconds: float = 0.0
    refuses_until: float = 0.0
    is_leaving: bool = False
    is_draining: bool = False
    control_silent_until: float = 0.0
    rate_limit: str = ""
    recorded_limit: str = ""

    @property
    def headers(self) -> Headers:
        """The notices in answers to client requests."""
        return (*self._limit_headers, *self._leaving_headers)

    @property
    def control_headers(self) -> Headers:
        """The notices in answers to control queries and orders, with a delayed shutdown notice."""
        is_silent = trio.current_time() < self.control_silent_until
        return self._limit_headers if is_silent else self.headers

    @property
    def _leaving_headers(self) -> Headers:
        return ((b"server-leaving", b"1"),) if self.is_leaving else ()

    @property
    def _limit_headers(self) -> Headers:
        """The announced rate limit; each change of it is recorded."""
        if self.rate_limit != self.recorded_limit:
            self.recorded_limit = self.rate_limit
            named = float(self.rate_limit) if self.rate_limit else None
            self.write_record(named=named, clock=time.monotonic())
        return ((b"server-limit", self.rate_limit.encode()),) if self.rate_limit else ()

    @property
    def row_state(self) -> str:
        """The state in the runner's row."""
        return "draining" if self.is_draining else "ready"

    def apply_order(self, order: dict) -> bool:
        """Apply an order; return False if it isn't one for notices."""
        if "backoff" in order:
            self.backoff_seconds = order["backoff"]
            self.refuses_until = trio.current_time() + order["seconds"]
        elif "limit" in order:
            self.rate_limit = order["limit"]
        elif "leaving" in order or "draining" in order:
            if not self.is_leaving:
                self.control_silent_until = trio.current_time() + CONTROL_NOTICE_DELAY_SECONDS
            self.is_leaving = True
            self.is_draining = "draining" in order
        else:
            return False
        return True

    def record_arrival(self, request: str, deadline_ms: str) -> None:
        """Record a client request and its deadline, with the time of the clock of all processes."""
        self.write_record(arrived=request, deadline_ms=deadline_ms, clock=time.monotonic())

    def record_misdirected(self, request: str) -> None:
        """Record a client request for another incarnation, which is refused."""
        self.write_record(misdirected=request, clock=time.monotonic())

    def record_control_message(self) -> None:
        """Record a control query or an order."""
        self.write_record(question=True, clock=time.monotonic())

    def refusal_headers(self, request: str) -> Headers | None:
        """Return the headers of a refusal and record its backoff, or None if none is active."""
        if trio.current_time() >= self.refuses_until:
            return None
        self.write_record(asked=request, seconds=self.backoff_seconds, clock=time.monotonic())
        retry_after = (b"retry-after", f"{self.backoff_seconds:.2f}".encode())
        return ((b"x-not-executed", b"1"), retry_after, *self.headers)
