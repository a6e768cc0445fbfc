"""A simulated plain service that records each call it executes."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from deckcourse.engine import Lost, Refused, Unreachable
from deckcourse.plain_service import ServiceCall, ServiceReply

__all__ = ["CallRun", "StandinService"]


@dataclass(frozen=True)
class CallRun:
    """The record of one executed call."""

    service: str
    request: str
    path: str
    body: str


class StandinService:
    """A simulated service: a call waits `seconds`, is then recorded and echoes its body."""

    def __init__(
        self,
        name: str,
        seconds: float = 0.02,
        record: Callable[[CallRun], None] | None = None,
    ) -> None:
        self._name = name
        self._call_seconds = seconds
        self._runs: list[CallRun] = []
        self._record = record or self._runs.append
        self._killed = False
        self._replies_to_lose = 0
        self._thawed = trio.Event()
        self._thawed.set()

    @property
    def runs(self) -> tuple[CallRun, ...]:
        """All recorded calls, empty where another `record` function was given."""
        return tuple(self._runs)

    def kill(self) -> None:
        """Simulate a crash: running calls are lost, later ones find the service unreachable."""
        self._killed = True
        self._thawed.set()

    def revive(self) -> None:
        """Restart after `kill`; the recorded calls are kept."""
        self._killed = False

    def freeze(self) -> None:
        """Stop answering; running calls are suspended until `thaw`."""
        self._thawed = trio.Event()

    def thaw(self) -> None:
        """Resume after `freeze`."""
        self._thawed.set()

    def lose_replies(self, count: int = 1) -> None:
        """Execute the next `count` calls but break the connection before the reply."""
        self._replies_to_lose += count

    async def call(self, call: ServiceCall) -> ServiceReply | Unreachable | Refused | Lost:
        """Execute a call."""
        if self._killed:
            return Unreachable(self._name, "connection refused")
        await trio.sleep(self._call_seconds)
        await self._thawed.wait()
        if self._killed:
            return Lost(self._name, "connection reset")
        body = call.body.decode("utf-8", "replace")
        self._record(CallRun(self._name, call.request, call.path, body))
        if self._replies_to_lose > 0:
            self._replies_to_lose -= 1
            return Lost(self._name, "connection reset")
        return ServiceReply(200, call.body or b"{}", call.content_type or "application/json")
