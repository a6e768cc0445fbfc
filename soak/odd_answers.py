"""Faulty answers of a stand-in runner, controlled by orders on its standard input.

Each line is JSON: `{"still": SECONDS}` holds all output of the process back and then sends it at
once; `{"aimed": SECONDS}` does so until the second of two control queries in a row has timed out;
`{"odd": KIND, "seconds": SECONDS}` makes a share of the answers faulty for that time;
`{"halves": SECONDS}` makes it send plain answers without a length from now on, mostly in two halves
up to so far apart; `{"unlisted": true}` makes it remove its row and serve on; and
`{"unending": KIND, "seconds": SECONDS}` gives a share of the answers no end for that time.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

import trio

from soak.conversation import Gate, GatedConnection
from soak.notices import Notices
from soak.unending import Unending

__all__ = ["AnswerFault", "AnswerFaults", "raw_head"]

# The share of answers that are faulty while a fault is active.
FAULTY_SHARE = 0.6
# The share of answers without a length that come in one piece.
WHOLE_SHARE = 0.4
# The longest delay of a late surplus.
MAX_SURPLUS_DELAY_SECONDS = 0.03
# Surplus bytes that resemble nothing, an event, a chunk and an answer.
GARBAGE = (
    b"\x00\xff\x00garbage",
    b"id: 1\ndata: garbage\n\n",
    b"8\r\ngarbage!\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ngarbage",
)


# The gateway's timeout for a control query to an upstream; it moves the streams of an upstream
# after two timeouts in a row. Held output is released around the second one, at an offset in this
# range.
QUERY_TIMEOUT_SECONDS = 0.15
RELEASE_OFFSET_RANGE_SECONDS = (-0.002, 0.003)
# A query that starts this long after the timeout of another one is the second in a row.
SECOND_QUERY_DELAY_RANGE_SECONDS = (0.05, 0.13)
# The release is announced this long in advance, so that the gateway's processes can be paused over
# it and handle the timeout and the released output at once when they resume.
RELEASE_NOTICE_SECONDS = 0.025


class AnswerFault(StrEnum):
    """What is wrong with an answer.

    An endless answer has no length and ends when its connection is closed; if the connection is
    reset instead, the answer is incomplete.
    """

    MUTE = "mute"
    TWICE = "twice"
    ENDLESS = "endless"
    ENDLESS_RESET = "endless-reset"
    GARBAGE = "garbage"
    BREAK_OFF = "break-off"


class SurplusTiming(StrEnum):
    """When the bytes that follow a faulty answer are sent."""

    AT_ONCE = "at-once"
    LATE = "late"
    NEXT = "next"


@dataclass
class AnswerFaults:
    """The fault of a runner's answers, with the gate that all its output passes.

    `announce_release` is called shortly before held output is released; `notices` get their orders
    from the same stream. `shown` is the number of further streams that reports show until
    `shown_until`.
    """

    random: Random
    gate: Gate
    announce_release: Callable[[], None]
    notices: Notices
    fault: AnswerFault | None = None
    fault_until: float = 0.0
    aimed_hold_until: float = 0.0
    shown: int = 0
    shown_until: float = 0.0
    timed_out_at: list[float] = field(default_factory=list)
    max_half_pause: float | None = None
    is_listed: bool = True
    unending: Unending | None = None
    unending_until: float = 0.0

    async def read_orders(self, orders: trio.abc.ReceiveStream) -> None:
        """Read orders, one JSON line each, and apply them until the stream ends."""
        rest = b""
        while data := await orders.receive_some():
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self._apply_order(json.loads(line))

    def _apply_order(self, order: dict) -> None:
        if self.notices.apply_order(order):
            return
        if "still" in order:
            self.gate.close(order["still"])
        elif "halves" in order:
            self.max_half_pause = order["halves"]
        elif "unending" in order:
            self.unending = Unending(order["unending"])
            self.unending_until = trio.current_time() + order["seconds"]
        elif "unlisted" in order:
            self.is_listed = False
        elif "shown" in order:
            self.shown = order["shown"]
            self.shown_until = trio.current_time() + order["seconds"]
        elif "aimed" in order:
            self.gate.close(order["aimed"])
            self.aimed_hold_until = trio.current_time() + order["aimed"]
            self.timed_out_at.clear()
        else:
            self.fault = AnswerFault(order["odd"])
            self.fault_until = trio.current_time() + order["seconds"]

    def draw_half_pause(self) -> float | None:
        """Draw the time between the halves of an answer without a length, None for a length."""
        if self.max_half_pause is None:
            return None
        is_whole = self.random.random() < WHOLE_SHARE
        return 0.0 if is_whole else self.random.uniform(0.0, self.max_half_pause)

    def count_shown(self) -> int:
        """Return how many streams reports show in addition to those that run."""
        return self.shown if trio.current_time() < self.shown_until else 0

    def draw_fault(self) -> AnswerFault | None:
        """Draw the fault of the next answer, or None."""
        if trio.current_time() < self.fault_until and self.random.random() < FAULTY_SHARE:
            return self.fault
        return None

    def draw_unending(self) -> Unending | None:
        """Draw why the next answer has no end, or None if it has one."""
        if trio.current_time() < self.unending_until and self.random.random() < FAULTY_SHARE:
            return self.unending
        return None

    async def delay_report(self) -> None:
        """Delay the answer to a control query beyond its timeout during an aimed hold.

        If the previous query timed out just before, release the held output at the moment at which
        this one times out.
        """
        now = trio.current_time()
        if now >= self.aimed_hold_until:
            return
        timeout_at = now + QUERY_TIMEOUT_SECONDS
        is_second = any(
            SECOND_QUERY_DELAY_RANGE_SECONDS[0] < now - each < SECOND_QUERY_DELAY_RANGE_SECONDS[1]
            for each in self.timed_out_at
        )
        await trio.sleep_until(timeout_at - RELEASE_NOTICE_SECONDS)
        self.timed_out_at.append(timeout_at)
        if is_second:
            self.announce_release()
            await trio.sleep_until(timeout_at + self.random.uniform(*RELEASE_OFFSET_RANGE_SECONDS))
            self.gate.open()
        await trio.sleep_until(self.aimed_hold_until)

    async def send_surplus(
        self, fault: AnswerFault | None, connection: GatedConnection, answer: bytes
    ) -> None:
        """Send the surplus of a faulty answer: at once, late or before the next answer."""
        if fault not in (AnswerFault.GARBAGE, AnswerFault.TWICE):
            return
        surplus = answer if fault is AnswerFault.TWICE else self.random.choice(GARBAGE)
        timing = self.random.choice(list(SurplusTiming))
        if timing is SurplusTiming.NEXT:
            connection.hold_until_next_request(surplus)
            return
        if timing is SurplusTiming.LATE:
            await trio.sleep(self.random.uniform(0.0, MAX_SURPLUS_DELAY_SECONDS))
        await connection.send_unsolicited(surplus)


def raw_head(headers: tuple[tuple[bytes, bytes], ...]) -> bytes:
    """Return the head of an answer that ends when its connection is closed."""
    lines = [name + b": " + value for name, value in headers]
    return b"\r\n".join((b"HTTP/1.1 200 OK", *lines, b"", b""))
