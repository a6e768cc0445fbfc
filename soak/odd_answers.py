"""Faulty answers of a stand-in runner, controlled by orders on its standard input.

Each line is JSON: `{"still": SECONDS}` holds all output of the process back and then sends it at
once; `{"aimed": SECONDS}` does so until the second of two control queries in a row has timed out;
`{"odd": KIND, "seconds": SECONDS}` makes a share of the answers faulty for that time.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

import trio

from soak.conversation import Conversation, Gate
from soak.notices import Notices

__all__ = ["Odd", "OddAnswers", "raw_head"]

# The share of answers that are faulty while a fault is active.
ODD_SHARE = 0.6
# The longest delay of a late surplus.
LATE_SECONDS = 0.03
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
QUESTION_SECONDS = 0.15
AIM_SECONDS = (-0.002, 0.003)
# A query that starts this long after the timeout of another one is the second in a row.
NEXT_SECONDS = (0.05, 0.13)
# The release is announced this long in advance, so that the gateway's processes can be paused over
# it and handle the timeout and the released output at once when they resume.
TOLD_SECONDS = 0.025


class Odd(StrEnum):
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


class Surplus(StrEnum):
    """When the bytes that follow a faulty answer are sent."""

    AT_ONCE = "at-once"
    LATE = "late"
    NEXT = "next"


@dataclass
class OddAnswers:
    """The fault of a runner's answers, with the gate that all its output passes.

    `announce_release` is called shortly before held output is released; `notices` get their orders
    from the same stream.
    """

    random: Random
    gate: Gate
    tell_aim: Callable[[], None]
    notices: Notices
    kind: Odd | None = None
    until: float = 0.0
    aimed_until: float = 0.0
    given_up: list[float] = field(default_factory=list)

    async def obey(self, orders: trio.abc.ReceiveStream) -> None:
        """Read orders, one JSON line each, and apply them until the stream ends."""
        rest = b""
        while data := await orders.receive_some():
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self._take(json.loads(line))

    def _take(self, order: dict) -> None:
        if self.notices.take(order):
            return
        if "still" in order:
            self.gate.close(order["still"])
        elif "aimed" in order:
            self.gate.close(order["aimed"])
            self.aimed_until = trio.current_time() + order["aimed"]
            self.given_up.clear()
        else:
            self.kind = Odd(order["odd"])
            self.until = trio.current_time() + order["seconds"]

    def draw(self) -> Odd | None:
        """Draw the fault of the next answer, or None."""
        if trio.current_time() < self.until and self.random.random() < ODD_SHARE:
            return self.kind
        return None

    async def before_report(self) -> None:
        """Delay the answer to a control query beyond its timeout during an aimed hold.

        If the previous query timed out just before, release the held output at the moment at which
        this one times out.
        """
        now = trio.current_time()
        if now >= self.aimed_until:
            return
        due = now + QUESTION_SECONDS
        second = any(NEXT_SECONDS[0] < now - each < NEXT_SECONDS[1] for each in self.given_up)
        await trio.sleep_until(due - TOLD_SECONDS)
        self.given_up.append(due)
        if second:
            self.tell_aim()
            await trio.sleep_until(due + self.random.uniform(*AIM_SECONDS))
            self.gate.open()
        await trio.sleep_until(self.aimed_until)

    async def behind(self, kind: Odd | None, conversation: Conversation, answer: bytes) -> None:
        """Send the surplus of a faulty answer: at once, late or before the next answer."""
        if kind not in (Odd.GARBAGE, Odd.TWICE):
            return
        surplus = answer if kind is Odd.TWICE else self.random.choice(GARBAGE)
        when = self.random.choice(list(Surplus))
        if when is Surplus.NEXT:
            conversation.keep(surplus)
            return
        if when is Surplus.LATE:
            await trio.sleep(self.random.uniform(0.0, LATE_SECONDS))
        await conversation.send_unasked(surplus)


def raw_head(headers: tuple[tuple[bytes, bytes], ...]) -> bytes:
    """Return the head of an answer that ends when its connection is closed."""
    lines = [name + b": " + value for name, value in headers]
    return b"\r\n".join((b"HTTP/1.1 200 OK", *lines, b"", b""))
