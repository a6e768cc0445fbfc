"""The events of a stand-in's stream, generated alike by the sender and by the check."""

__all__ = ["EVENTS", "PAD_HEADER", "WIDE_BYTES", "event", "events"]

EVENTS = 30
# The request header with the number of bytes by which each event is to be longer.
PAD_HEADER = b"x-soak-pad"
# The padding for callers that read slowly. A stream is then several times as large as the socket
# buffers on its path, so that writes to them block.
WIDE_BYTES = 12 * 1024


def event(name: str, number: int, pad: int = 0) -> bytes:
    """Return one event of the stream of a request, padded with the request id."""
    filler = (f" {name}" * (pad // (len(name) + 1))) if pad else ""
    return f"id: {number}\ndata: {name} {number}{filler}\n\n".encode()


def events(name: str, pad: int = 0) -> bytes:
    """Return the whole stream of a request."""
    return b"".join(event(name, number, pad) for number in range(1, EVENTS + 1))
