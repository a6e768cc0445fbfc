"""A stand-in for a plain service: it counts what it ran, by the request's name."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from deckcourse.engine import Lost, Refused, Unreachable
from deckcourse.plain_service import ServiceCall, ServiceReply

__all__ = ["CallRun", "StandinService"]


@dataclass(frozen=True)
class CallRun:
    """The record of one call that was run."""

    service: str
    request: str
    path: str
    body: str


class StandinService:
    """The service itself: each call takes a while, runs at its end, and echoes its body."""

    def __init__(
        self,
        name: str,
        seconds: float = 0.02,
        record: Callable[[CallRun], None] | None = None,
    ) -> None:
        self._name = name
        self._seconds = seconds
        self._runs: list[CallRun] = []
        self._record = record or self._runs.append
        self._dead = False
        self._lose_replies = 0
        self._thawed = trio.Event()
        self._thawed.set()

    @property
    def runs(self) -> tuple[CallRun, ...]:
        """The record of every call run."""
        return tuple(self._runs)

    def kill(self) -> None:
        """Die at once."""
        self._dead = True
        self._thawed.set()

    def revive(self) -> None:
        """Come back after `kill`; the record is kept."""
        self._dead = False

    def freeze(self) -> None:
        """Stop answering until `thaw`."""
        self._thawed = trio.Event()

    def thaw(self) -> None:
        """Go on after `freeze`."""
        self._thawed.set()

    def lose_replies(self, count: int = 1) -> None:
        """Run the next calls but break the connection before the reply."""
        self._lose_replies += count

    async def call(self, call: ServiceCall) -> ServiceReply | Unreachable | Refused | Lost:
        """Run a call."""
        if self._dead:
            return Unreachable(self._name, "connection refused")
        await trio.sleep(self._seconds)
        await self._thawed.wait()
        if self._dead:
            return Lost(self._name, "connection reset")
        body = call.body.decode("utf-8", "replace")
        self._record(CallRun(self._name, call.request, call.path, body))
        if self._lose_replies > 0:
            self._lose_replies -= 1
            return Lost(self._name, "connection reset")
        return ServiceReply(200, call.body or b"{}", call.content_type or "application/json")
