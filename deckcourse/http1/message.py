"""Definitions for both sides of an HTTP/1.1 connection: headers, sizes and failures."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "MAX_BODY_BYTES",
    "READ_BYTES",
    "ConnectionLostError",
    "FailureKind",
    "Headers",
    "IncomingRequest",
    "declared_length",
    "end_to_end",
    "header_value",
]

# Names in lower case, in the order received.
Headers = tuple[tuple[bytes, bytes], ...]

# Size of one read from a socket; about ten times an event of a stream.
READ_BYTES = 16 * 1024

# Largest response body that is held in memory.
MAX_BODY_BYTES = 4 * 1024 * 1024

# Headers that apply to a single connection (RFC 9110, 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclass(frozen=True)
class IncomingRequest:
    """A complete request; `target` is the path and query, byte for byte.

    `body_waited` tells for how many seconds its body was not read for lack of room; it is empty if
    `is_body_dropped`, since it got no room.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    body_waited: float = 0.0
    is_body_dropped: bool = False


class FailureKind(StrEnum):
    """The stage at which the connection of a call failed."""

    UNSENT = "unsent"
    LOST = "lost"
    MALFORMED = "malformed"


@dataclass
class ConnectionLostError(Exception):
    """A connection failed; the gateway converts it to an outcome where it is caught.

    Attributes:
      kind: the stage of the call. UNSENT means that no byte of the request left this process, so
        that no upstream executed it.
      message: the details.
    """

    kind: FailureKind
    message: str

    @property
    def is_refusal(self) -> bool:
        """Whether the machine refused the connection: no process listens at the address."""
        return isinstance(self.__cause__, ConnectionRefusedError)

    def __str__(self) -> str:
        return f"{self.kind}: {self.message}"


def header_value(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Return the value of the first header with a lower-case name, empty if there is none."""
    for each, value in headers:
        if each == name:
            return value
    return b""


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers to forward, without the hop-by-hop ones."""
    headers = tuple(headers)
    listed = header_value(headers, b"connection").lower().split(b",")
    connection_headers = _HOP_BY_HOP.union(each.strip() for each in listed)
    return tuple((name, value) for name, value in headers if name not in connection_headers)


def declared_length(headers: Headers) -> int | None:
    """Return the length of a body that its headers declare, None if they declare none."""
    if header_value(headers, b"transfer-encoding"):
        return None
    text = header_value(headers, b"content-length")
    return int(text) if text.isdigit() else None
