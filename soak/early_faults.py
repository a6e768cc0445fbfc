"""Requests with long bodies at runners that answer before they have read them.

Some callers leave while the rest of the body is still unsent. Whatever becomes of the request, a
runner that reads on must receive that rest or the end of the connection, never other bytes.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import trio

from soak.caller_connection import CallerConnection, Manner, connect
from soak.callers import request_bytes
from soak.calls import Call
from soak.configuration import EARLY_ROUTE
from soak.early_runner import EarlyRunner, early_body
from soak.trouble import SiteTrouble

__all__ = ["EarlyFaults"]

CALLER_COUNT = 6
DOMAINS = "ab"
# The share of callers that leave after they have sent a request, and when at the latest.
LEAVE_SHARE = 0.5
MAX_SECONDS_UNTIL_LEFT = 1.0
MEAN_PAUSE_SECONDS = 0.1
READY_POLL_SECONDS = 0.1


@dataclass
class EarlyFaults(SiteTrouble):
    """Sends long bodies to runners that answer early."""

    _runners: list[EarlyRunner] = field(default_factory=list)

    async def run(self, until: float) -> None:
        """Send requests until a time on trio's clock; return once all of them have ended."""
        self._runners = [
            EarlyRunner(f"e{each}.0", each, self.site.store, Random(self.random.random()))
            for each in DOMAINS
        ]
        async with trio.open_nursery() as nursery:
            for each in self._runners:
                await nursery.start(each.run)
            version = self.site.configuration.version + 1
            self.site.configure(version=version, has_early_route=True)
            # The start takes long on a busy machine.
            while not self._are_ready() and trio.current_time() < until:
                await trio.sleep(READY_POLL_SECONDS)
            async with trio.open_nursery() as caller_nursery:
                for number in range(CALLER_COUNT):
                    caller_nursery.start_soon(self._run_caller, number, until)
            nursery.cancel_scope.cancel()

    def _are_ready(self) -> bool:
        return len(self.callers.ready_entries) == len(self.site.entries)

    async def _run_caller(self, number: int, until: float) -> None:
        connections: dict[str, CallerConnection] = {}
        count = 0
        while trio.current_time() < until:
            count += 1
            call = Call(
                f"b{number}r{count}",
                "again",
                self.callers.keys[-1],
                trio.current_time(),
                route_name=EARLY_ROUTE,
            )
            entry = self.draw_entry()
            is_kept = False
            with self.own_call(call):
                is_kept = await self._send(connections, entry, call)
            if not is_kept and entry in connections:
                connections.pop(entry).close()
            await trio.sleep(MEAN_PAUSE_SECONDS * self.random.uniform(0.5, 1.5))
        for each in connections.values():
            each.close()

    async def _send(self, connections: dict[str, CallerConnection], entry: str, call: Call) -> bool:
        """Send a request and read its answer; return whether its connection is reusable."""
        manner = Manner()
        if self.random.random() < LEAVE_SHARE:
            seconds = self.random.uniform(0.0, MAX_SECONDS_UNTIL_LEFT)
            manner = Manner(disconnects_after_sent_seconds=seconds)
        if entry in connections and not await connections[entry].is_usable():
            connections.pop(entry).close()
        if entry not in connections:
            connection = await connect(entry, small_buffers=False)
            if connection is None:
                return False
            connections[entry] = connection
        request = request_bytes(call, early_body(call.request_id))
        is_reusable = await connections[entry].send_request(request, call, manner)
        if call.has_disconnected:
            self.log_fault(f"the caller of {call.request_id} left {entry}")
        return is_reusable

    def find_violations(self, calls: Sequence[Call]) -> list[str]:
        """Return the bodies at whose place other bytes came."""
        judged = self.site.judged
        judged["answers before the body was read"] += sum(
            each.early_answers for each in self._runners
        )
        judged["such bodies given up"] += sum(each.given_up for each in self._runners)
        sent = {each.request_id for each in self.calls}
        return [
            violation
            for runner in self._runners
            for violation in (
                *runner.violations,
                *(f"{each!r} ran though no caller sent it" for each in set(runner.runs) - sent),
            )
        ]
