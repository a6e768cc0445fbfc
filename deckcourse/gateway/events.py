"""The events of one run of a stream: whole ones only, each once, their ids rising by one.

Whatever else an upstream sends is no event of the stream and ends its run: it may be another
answer, which is read as a part of one that has no length.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["Event", "EventReader"]

# A block of lines ends with an empty one, as text/event-stream has it.
_END = re.compile(rb"\r?\n\r?\n")
# Each line of an event is a comment or begins with a field's name. The names in another answer's
# head have hyphens or capitals, so that it's no event, also where it follows half of one.
_LINES = re.compile(rb"(?:(?:[a-z][a-z0-9_]*)?:[^\n]*\n|(?:[a-z][a-z0-9_]*)?\r?\n)+")
# A byte that fits in two ways doubles the time with each line: 24 lines took 6.3 s.
_COMMENTS = re.compile(rb"(?:(?::[^\n]*)?\n|\r\n)+")
_ID = re.compile(rb"^id:([^\n]*)$", re.MULTILINE)
# Digits of an id; more are no number that anyone counted.
LONGEST_ID = 15
# What is kept of an event whose end isn't here, or of comments before one, bytes: events hold a few
# tokens, and one that never ends would fill the memory.
LARGEST_EVENT = 64 * 1024
# The end of an event may have begun in the read before, by so many bytes at the most.
_END_BYTES = 4


@dataclass(frozen=True)
class Event:
    """One whole event as it came, with the comments before it, and its id."""

    data: bytes
    id: int


class EventReader:
    """Cuts the bytes of one run into events; what is not yet whole is kept back.

    Comments go on with the event behind them: they are none, and show no progress.

    Args:
      last: the id of the last event that the caller has, None where it has none.
    """

    def __init__(self, last: int | None) -> None:
        self._last = last
        self._before: int | None = None
        self._rest = b""
        self._comments = bytearray()
        self._fault = ""

    @property
    def fault(self) -> str:
        """Why what came last can't belong to this stream, empty where nothing says so."""
        return self._fault

    @property
    def incomplete(self) -> bool:
        """Whether a part of an event is here whose end isn't."""
        return bool(self._rest.strip())

    @property
    def trailing(self) -> bytes:
        """The comments and empty lines behind the last event."""
        return bytes(self._comments) + self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Take in bytes; return the events that are whole now and that the caller lacks.

        They end before the first one that can't be the stream's next; `fault` tells of it.
        """
        events = [each for each in self._events(data) if self._last is None or each.id > self._last]
        if len(self._rest) + len(self._comments) > LARGEST_EVENT:
            self._fault = self._fault or "an event does not end"
        return events

    def _events(self, data: bytes) -> Iterator[Event]:
        seen = max(0, len(self._rest) - _END_BYTES + 1)
        self._rest += data
        start = 0
        for end in _END.finditer(self._rest, seen):
            event = self._event(self._rest[start : end.end()])
            if self._fault:
                return
            start = end.end()
            if event is not None:
                yield event
        self._rest = self._rest[start:]

    def _event(self, block: bytes) -> Event | None:
        """Return the event that a block is, None for comments and where there is a fault."""
        ids = _ID.findall(block)
        if not ids and _COMMENTS.fullmatch(block):
            self._comments += block
            return None
        number = _number(ids[0]) if len(ids) == 1 and _LINES.fullmatch(block) else None
        if number is None:
            self._fault = "bytes that are no event"
            return None
        if not self._follows(number):
            before = self._last if self._before is None else self._before
            self._fault = f"event {number} follows {before}"
            return None
        self._before = number
        event = Event(bytes(self._comments) + block, number)
        self._comments.clear()
        return event

    def _follows(self, number: int) -> bool:
        """Return whether an event may be next; a run may begin with some that the caller has."""
        if self._before is not None:
            return number == self._before + 1
        return self._last is None or number <= self._last + 1


def _number(text: bytes) -> int | None:
    text = text.strip()
    return int(text) if text.isdigit() and len(text) <= LONGEST_ID else None
