"""Reads responses whole before they are sent on, while there is room for them in memory."""

from collections.abc import Awaitable, Callable

from deckcourse.http1.connection_meter import ConnectionMeter
from deckcourse.http1.message import (
    MAX_BODY_BYTES,
    ConnectionLostError,
    FailureKind,
    Headers,
    declared_length,
)

__all__ = ["read_whole"]


async def read_whole(
    next_data: Callable[[], Awaitable[bytes | None]], headers: Headers, meter: ConnectionMeter
) -> bytes:
    """Return the whole body of a response.

    While there is no room for it, nothing is read, so that TCP holds its sender back.

    Args:
      next_data: returns the next bytes, None after the proper end.
      headers: the headers of the response.
      meter: counts the bytes that are held for the caller's connection.

    Raises:
      ConnectionLostError: as `next_data`; also MALFORMED if the body exceeds MAX_BODY_BYTES.
    """
    declared = declared_length(headers)
    meter.note_response_end()
    body = bytearray()
    while True:
        await meter.wait_for_response_room(declared, MAX_BODY_BYTES)
        data = await next_data()
        if data is None:
            meter.note_response_read()
            return bytes(body)
        body += data
        meter.note_response(len(data))
        if len(body) > MAX_BODY_BYTES:
            raise ConnectionLostError(FailureKind.MALFORMED, "the answer is too large to keep")
