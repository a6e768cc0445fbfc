"""The events of a stream: whole ones only, by their ids."""

from dataclasses import dataclass

__all__ = ["Event", "EventReader"]

END = b"\n\n"


@dataclass(frozen=True)
class Event:
    """One whole event as it came, with its id; None where it has none."""

    data: bytes
    id: int | None


class EventReader:
    """Cuts a stream of bytes into events; what is not yet whole is kept back."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def incomplete(self) -> bool:
        """Whether a part of an event is here whose end isn't."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[Event]:
        """Take in bytes; return the events that are whole now."""
        *whole, self._rest = (self._rest + data).split(END)
        return [Event(each + END, _event_id(each)) for each in whole]


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
