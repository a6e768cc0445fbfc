"""Runners whose answers have no end, callers whose bodies have none, and the check of the others.

Each service keeps a sound runner. A call whose answer had an end is to be served as without these
faults; one whose answer had none gets a failure or is served elsewhere.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import trio

from soak.calls import OK, STREAM_ROUTES, Call, Ending
from soak.configuration import MIN_TIMEOUT_SECONDS
from soak.lost_judge import LIMIT_MARGIN_SECONDS
from soak.site import RunnerProcess
from soak.trouble import SiteTrouble
from soak.unending import ENDLESS_BODY_PIECE, Unending
from soak.wire import HOST

__all__ = ["UnendingFaults"]

# Further callers, most of them of plain runners: each service of these has few.
CALLER_COUNT = 12
LOAD_ROUTES = ("once", "again", "stream")
MIN_INTERVAL_SECONDS = 0.2
MAX_INTERVAL_SECONDS = 0.8
MIN_FAULT_SECONDS = 1.0
MAX_FAULT_SECONDS = 3.0
POLL_INTERVAL_SECONDS = 0.1
# The site has started once so many calls in a row were served.
STARTED_CALLS = 20
# Affected runners of each service at a time, beside one at least that is sound.
MAX_AFFECTED_RUNNERS = 2
# The share of these faults that are a caller's.
CALLER_SHARE = 0.3
# What the platform allows a request to fail with if its runner's answer has no end.
FAILURE_STATUSES = (502, 504)
# The share of the other calls that is to be served, as at the end of the soak, when no fault is
# left.
MIN_SERVED_SHARE = 0.9


@dataclass
class UnendingFaults(SiteTrouble):
    """Makes runners send answers without an end, and callers such bodies with `has_bodies`."""

    has_bodies: bool = True
    _affected: set[str] = field(default_factory=set)
    _began_at: float = float("inf")

    async def run(self, until: float) -> None:
        """Inject faults until a time on trio's clock; return once all of them have ended.

        They begin once the site serves, which takes long on a busy machine.
        """
        while not self._has_started() and trio.current_time() < until:
            await trio.sleep(POLL_INTERVAL_SECONDS)
        self._began_at = trio.current_time()
        async with self.further_callers(CALLER_COUNT, routes=LOAD_ROUTES, name_prefix="u"):
            await self.start_repeatedly(
                until, self._draw_fault, MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS
            )

    def _has_started(self) -> bool:
        """Return whether every entry is ready and the latest calls were served."""
        ended = [each for each in self.callers.calls if each.ended_at < float("inf")]
        latest = ended[-STARTED_CALLS:]
        are_served = all(each.is_served or each.has_disconnected for each in latest)
        are_ready = len(self.callers.ready_entries) == len(self.site.entries)
        return are_ready and are_served and len(latest) == STARTED_CALLS

    def _draw_fault(self) -> Callable[[], Awaitable[None]]:
        is_caller = self.has_bodies and self.random.random() < CALLER_SHARE
        return self._send_body if is_caller else self._answer_without_end

    async def _answer_without_end(self) -> None:
        seconds = self.random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        kind = self.random.choice(list(Unending))
        runner = self.random.choice(self.site.runners)
        name = runner.spec.instance
        if name in self._affected or self._has_enough(runner):
            return
        self._affected.add(name)
        self.log_fault(f"runner {name} sends {kind} without an end for {seconds:.1f} s")
        self.site.send_order(runner, unending=kind, seconds=seconds)
        await trio.sleep(seconds)
        self._affected.discard(name)

    def _has_enough(self, runner: RunnerProcess) -> bool:
        peers = [each for each in self.site.runners if each.spec.service == runner.spec.service]
        affected = [each for each in peers if each.spec.instance in self._affected]
        return len(affected) >= min(MAX_AFFECTED_RUNNERS, len(peers) - 1)

    async def _send_body(self) -> None:
        """Send a body of chunks of a byte on a connection of its own until it is closed."""
        seconds = self.random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        entry = self.random.choice(self.site.entries)
        self.log_fault(f"a caller sends {entry.name} a body without an end for {seconds:.1f} s")
        head = b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n"
        with trio.move_on_after(seconds):
            try:
                # Not through the proxy of the other callers, which would be busy with it.
                stream = await trio.open_tcp_stream(HOST, entry.port)
            except OSError:
                return
            async with stream:
                await self._send_repeatedly(stream, head)

    async def _send_repeatedly(self, stream: trio.SocketStream, head: bytes) -> None:
        try:
            await stream.send_all(head)
            while True:
                await stream.send_all(ENDLESS_BODY_PIECE)
        except trio.BrokenResourceError:
            return

    def find_violations(self, calls: Sequence[Call]) -> list[str]:
        """Return the calls that got neither what they should nor a failure that is allowed."""
        affected = {each["unending"] for each in self.site.records if "unending" in each}
        judged = [
            each for each in calls if each.sent_at >= self._began_at and not each.has_disconnected
        ]
        others = [each for each in judged if each.request_id not in affected]
        without_end = [each for each in judged if each.request_id in affected]
        self.site.judged["calls whose answers had no end"] += len(without_end)
        self.site.judged["calls beside messages without an end"] += len(others) if judged else 0
        violations = [
            found
            for each in judged
            if (found := _find_no_answer(each, each.request_id in affected))
        ]
        violations += [found for each in without_end if (found := _find_wrong_end(each))]
        served = sum(each.is_served for each in others)
        if served < MIN_SERVED_SHARE * len(others):
            violations.append(
                f"beside messages without an end {served} of {len(others)} calls were served"
            )
        return violations


def _find_no_answer(call: Call, is_affected: bool) -> str:
    """Return a message if a call got neither a whole answer nor a refusal, or an empty text.

    A stream that has begun may be cut at its deadline, or if its own answer had no end.
    """
    has_begun = call.route in STREAM_ROUTES and call.status == OK
    is_late = call.ended_at - call.sent_at > MIN_TIMEOUT_SECONDS - LIMIT_MARGIN_SECONDS
    may_be_cut = has_begun and (is_affected or is_late)
    if call.was_cut and not may_be_cut:
        return f"{call.description}: {call.ending} after {call.received_bytes} bytes"
    if call.ending is Ending.UNFINISHED and call.whole_sent_at < float("inf"):
        return f"{call.description}: no answer {call.duration_seconds:.1f} s after it was sent"
    return ""


def _find_wrong_end(call: Call) -> str:
    """Return a message if an answer without an end became another status, or an empty text."""
    is_allowed = call.status in (OK, *FAILURE_STATUSES)
    if not call.is_complete or is_allowed:
        return ""
    return f"{call.description}: its answer had no end, and it got {call.status}"
