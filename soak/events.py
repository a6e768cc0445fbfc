"""The events of a stand-in's stream: the same bytes at whoever sends and whoever judges them."""

__all__ = ["EVENTS", "PAD_HEADER", "WIDE_BYTES", "event", "events"]

# How many events a stream has.
EVENTS = 30
# The header with which a caller asks for events that are so many bytes longer.
PAD_HEADER = b"x-soak-pad"
# The length that callers ask for who read slowly, bytes: a stream's worth is several times what
# the sockets on the way to them hold, so that writes to them block.
WIDE_BYTES = 12 * 1024


def event(name: str, number: int, pad: int = 0) -> bytes:
    """Return one event of the stream of a request, filled up with its own name."""
    filler = (f" {name}" * (pad // (len(name) + 1))) if pad else ""
    return f"id: {number}\ndata: {name} {number}{filler}\n\n".encode()


def events(name: str, pad: int = 0) -> bytes:
    """Return the whole stream of a request."""
    return b"".join(event(name, number, pad) for number in range(1, EVENTS + 1))
