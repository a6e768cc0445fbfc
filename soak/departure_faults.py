"""Callers that leave in the middle of long requests."""

from dataclasses import dataclass

import trio

from soak.caller_connection import Manner
from soak.callers import (
    request_body,
    request_bytes,
)
from soak.calls import Call
from soak.trouble import SiteTrouble, send_alone

__all__ = ["DepartureFaults"]

CALLER_COUNT = 10
ROUTES = ("stream", "fragile", "again", "once")
# How long a runner works before its answer begins, and when the caller leaves.
MIN_WORK_SECONDS = 0.5
MAX_WORK_SECONDS = 2.0
MAX_STAY_SECONDS = 1.5
MEAN_PAUSE_SECONDS = 0.1


@dataclass
class DepartureFaults(SiteTrouble):
    """Sends requests that take long, and leaves them."""

    async def run(self, until: float) -> None:
        """Send requests until a time on trio's clock; return once all of them have ended."""
        async with trio.open_nursery() as nursery:
            for number in range(CALLER_COUNT):
                nursery.start_soon(self._run_caller, number, until)

    async def _run_caller(self, number: int, until: float) -> None:
        count = 0
        while trio.current_time() < until:
            count += 1
            call = Call(
                f"g{number}r{count}",
                self.random.choice(ROUTES),
                self.callers.keys[-1],
                trio.current_time(),
                work_seconds=round(self.random.uniform(MIN_WORK_SECONDS, MAX_WORK_SECONDS), 3),
            )
            with self.own_call(call):
                await self._send(call)
            await trio.sleep(MEAN_PAUSE_SECONDS * self.random.uniform(0.5, 1.5))

    async def _send(self, call: Call) -> None:
        entry = self.draw_entry()
        manner = Manner(disconnects_after_seconds=self.random.uniform(0.0, MAX_STAY_SECONDS))
        await send_alone(entry, request_bytes(call, request_body(call)), call, manner)
        if call.has_disconnected:
            self.log_fault(f"the caller of {call.request_id} ({call.route}) left {entry}")
