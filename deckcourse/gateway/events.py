"""Parses the events of one attempt of a stream: complete events with consecutive ids, each once.

Any other bytes are malformed and end the attempt: they may be another response, which a response
without a length would include in its body.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["Event", "EventReader"]

# An empty line ends a block of lines, as text/event-stream defines it.
_EVENT_END = re.compile(rb"\r?\n\r?\n")
# Each line of an event is a comment or starts with a field name. Header names of another response
# contain hyphens or capitals, so that it never parses as an event, even after half of one.
_LINES = re.compile(rb"(?:(?:[a-z][a-z0-9_]*)?:[^\n]*\n|(?:[a-z][a-z0-9_]*)?\r?\n)+")
# Each byte must match in one way only: an ambiguous pattern doubled the time with each line, and 24
# lines took 6.3 s.
_COMMENTS = re.compile(rb"(?:(?::[^\n]*)?\n|\r\n)+")
_ID = re.compile(rb"^id:([^\n]*)$", re.MULTILINE)
# Longer numbers aren't the count of any stream's events.
MAX_ID_DIGITS = 15
# Limit on buffered bytes of an incomplete event and of comments: events hold a few tokens, and one
# without an end would fill the memory.
MAX_EVENT_BYTES = 64 * 1024
# Longest terminator of an event; all but its last byte may have come with earlier data.
MAX_END_BYTES = 4
# Blocks that one call parses: a read may hold thousands of comments or of events without text, and
# other tasks wait meanwhile.
MAX_BLOCKS = 32


@dataclass(frozen=True)
class Event:
    """One complete event: its bytes as received, with preceding comments, and its id."""

    data: bytes
    id: int


class EventReader:
    """Splits the bytes of one attempt into events and buffers an incomplete one.

    Comments are forwarded with the next event: alone, they show no progress.

    Args:
      last: the id of the last event that the caller has, None if it has none.
    """

    def __init__(self, last: int | None) -> None:
        self._last = last
        self._previous: int | None = None
        self._buffer = bytearray()
        # Where the search for the end of the first block goes on.
        self._search_from = 0
        self._blocks = 0
        self._comments = bytearray()
        self._fault = ""

    @property
    def fault(self) -> str:
        """Why the latest bytes can't belong to this stream, empty if they can."""
        return self._fault

    @property
    def incomplete(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    @property
    def trailing(self) -> bytes:
        """The comments and empty lines after the last event."""
        return bytes(self._comments + self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """The bytes that were not parsed yet."""
        return len(self._buffer)

    @property
    def blocks(self) -> int:
        """How many events and comments the latest call of `feed` has parsed."""
        return self._blocks

    @property
    def has_more(self) -> bool:
        """Whether `feed` has to be called again, without bytes, before more are added."""
        return self._blocks == MAX_BLOCKS

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that are complete now and that the caller doesn't have.

        They end before the first one that can't be the next of the stream; `fault` then says why.
        They also end after MAX_BLOCKS; `has_more` then says so.
        """
        events = [
            each for each in self._parse_events(data) if self._last is None or each.id > self._last
        ]
        if not self.has_more and len(self._buffer) + len(self._comments) > MAX_EVENT_BYTES:
            self._fault = self._fault or "an event does not end"
        return events

    def _parse_events(self, data: bytes) -> Iterator[Event]:
        self._buffer += data
        self._blocks = start = 0
        while self._blocks < MAX_BLOCKS and not self._fault:
            end = _EVENT_END.search(self._buffer, self._search_from)
            if end is None:
                self._search_from = max(start, len(self._buffer) - MAX_END_BYTES + 1)
                break
            self._blocks += 1
            event = self._parse_event(bytes(self._buffer[start : end.end()]))
            start = self._search_from = end.end()
            if event is not None:
                yield event
        del self._buffer[:start]
        self._search_from -= start

    def _parse_event(self, block: bytes) -> Event | None:
        """Return the event in a block, None for comments and after a fault."""
        ids = _ID.findall(block)
        if not ids and _COMMENTS.fullmatch(block):
            self._comments += block
            return None
        event_id = _parse_id(ids[0]) if len(ids) == 1 and _LINES.fullmatch(block) else None
        if event_id is None:
            self._fault = "bytes that are no event"
            return None
        if not self._follows(event_id):
            previous = self._last if self._previous is None else self._previous
            self._fault = f"event {event_id} follows {previous}"
            return None
        self._previous = event_id
        event = Event(bytes(self._comments) + block, event_id)
        self._comments.clear()
        return event

    def _follows(self, event_id: int) -> bool:
        """Return whether an event may be next; an attempt may start with ones the caller has."""
        if self._previous is not None:
            return event_id == self._previous + 1
        return self._last is None or event_id <= self._last + 1


def _parse_id(text: bytes) -> int | None:
    text = text.strip()
    return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
