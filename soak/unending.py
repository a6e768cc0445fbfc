"""Messages without an end: answers of runners and bodies of callers, sent until they are cut."""

from enum import StrEnum

from soak.conversation import GatedConnection

__all__ = ["ENDLESS_BODY_PIECE", "Unending", "send_unending"]

# The bytes that are written at once; small pieces are repeated up to this length.
WRITE_BYTES = 16 * 1024
LARGE_PIECE_BYTES = 64 * 1024
BYTE_CHUNK = b"1\r\nx\r\n"
INTERIM_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"
HEADER_LINE = b"X-A: b\r\n"
LARGE_CHUNK = b"%x\r\n" % LARGE_PIECE_BYTES + b"x" * LARGE_PIECE_BYTES + b"\r\n"
# The piece that a caller's chunked body repeats.
ENDLESS_BODY_PIECE = BYTE_CHUNK * (WRITE_BYTES // len(BYTE_CHUNK))


class Unending(StrEnum):
    """What has no end in an answer."""

    BYTE_CHUNKS = "chunks of one byte"
    INTERIM = "interim answers"
    PIECES = "pieces of 64 KiB"
    HEAD = "a head"
    EVENT = "an event"


async def send_unending(
    connection: GatedConnection, kind: Unending, request_id: str, is_stream: bool
) -> None:
    """Send an answer without an end until the connection is closed.

    Args:
      connection: the connection of the request.
      kind: what has no end.
      request_id: the request.
      is_stream: whether the answer is a stream of events.
    """
    start = b"HTTP/1.1 200 OK\r\n"
    request = request_id.encode()
    content_type = b"text/event-stream" if is_stream else b"application/octet-stream"
    headers = b"x-request-id: %b\r\nx-response-seal: seal-%b\r\ncontent-type: %b\r\n" % (
        request, request, content_type,
    )  # fmt: skip
    chunked_head = start + headers + b"transfer-encoding: chunked\r\n\r\n"
    head, piece = {
        Unending.BYTE_CHUNKS: (chunked_head, BYTE_CHUNK),
        Unending.INTERIM: (b"", INTERIM_ANSWER),
        Unending.PIECES: (chunked_head, LARGE_CHUNK),
        Unending.HEAD: (start + headers, HEADER_LINE),
        Unending.EVENT: (start + headers + b"\r\ndata: ", b"x"),
    }[kind]
    await connection.send_until_closed(head, piece * max(1, WRITE_BYTES // len(piece)))
