"""The events of a stand-in's stream, generated alike by the sender and by the check."""

__all__ = [
    "EVENTS_PER_STREAM",
    "PAD_HEADER",
    "SLOW_READER_PAD_BYTES",
    "WORK_HEADER",
    "event",
    "events",
]

EVENTS_PER_STREAM = 30
# The request header with the number of bytes by which each event is to be longer.
PAD_HEADER = b"x-soak-pad"
# The request header with the time for which a runner works before its answer begins, in ms.
WORK_HEADER = b"x-soak-work-ms"
# The padding for callers that read slowly. A stream is then several times as large as the socket
# buffers on its path, so that writes to them block.
SLOW_READER_PAD_BYTES = 12 * 1024


def event(request_id: str, number: int, pad_bytes: int = 0) -> bytes:
    """Return one event of the stream of a request, padded with the request id."""
    filler = (f" {request_id}" * (pad_bytes // (len(request_id) + 1))) if pad_bytes else ""
    return f"id: {number}\ndata: {request_id} {number}{filler}\n\n".encode()


def events(request_id: str, pad_bytes: int = 0) -> bytes:
    """Return the whole stream of a request."""
    return b"".join(
        event(request_id, number, pad_bytes) for number in range(1, EVENTS_PER_STREAM + 1)
    )
