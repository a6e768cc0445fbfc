"""How a stand-in of a runner answers oddly, and for how long: told on its standard input.

Each line is JSON: `{"still": SECONDS}` makes the whole process stand still and then bring what was
due at once; `{"odd": KIND, "seconds": SECONDS}` makes a part of the answers odd meanwhile.
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

# The share of answers that are odd while any are.
ODD_SHARE = 0.6
# How long behind an answer a late surplus comes at the most, seconds.
LATE_SECONDS = 0.03
# What comes behind an answer: bytes that are nothing, like an event, like a chunk, like an answer.
GARBAGE = (
    b"\x00\xff\x00garbage",
    b"id: 1\ndata: garbage\n\n",
    b"8\r\ngarbage!\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ngarbage",
)


# After so long without an answer the gateway gives a question to an upstream up, and takes its
# streams from it after the second one in a row. What was held up is let out around that moment,
# seconds.
QUESTION_SECONDS = 0.15
AIM_SECONDS = (-0.002, 0.003)
# A question so long behind the end of another is the second one in a row, seconds.
NEXT_SECONDS = (0.05, 0.13)
# So long before that moment it is told, so that the gateway's processes can stand still over it and
# find both at once when they go on, seconds.
TOLD_SECONDS = 0.025


class Odd(StrEnum):
    """What is wrong with an answer.

    An endless one has no length and ends with its connection; reset on the way it isn't whole.
    """

    MUTE = "mute"
    TWICE = "twice"
    ENDLESS = "endless"
    ENDLESS_RESET = "endless-reset"
    GARBAGE = "garbage"
    BREAK_OFF = "break-off"


class Surplus(StrEnum):
    """When what is behind an answer comes."""

    AT_ONCE = "at-once"
    LATE = "late"
    NEXT = "next"


@dataclass
class OddAnswers:
    """What is odd now; `gate` is what everything that goes out passes.

    `tell_aim` is called shortly before what was held up goes out; `notices` take their orders from
    the same stream.
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
        """Do what comes on a stream of lines until it ends."""
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
        """Return what is to be wrong with the next answer, None where nothing is."""
        if trio.current_time() < self.until and self.random.random() < ODD_SHARE:
            return self.kind
        return None

    async def before_report(self) -> None:
        """Leave a question unanswered while that is aimed at; whoever asks gives it up meanwhile.

        Where it is the second one in a row, what is held up goes out in the moment of its end.
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
        """Send what an odd answer has behind it: at once, late, or where the next one is due."""
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
    """Return the head of an answer that ends with its connection."""
    lines = [name + b": " + value for name, value in headers]
    return b"\r\n".join((b"HTTP/1.1 200 OK", *lines, b"", b""))
