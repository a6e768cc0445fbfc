"""What both sides of an HTTP/1.1 connection share: headers, sizes and failures."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "READ_BYTES",
    "ConnectionLostError",
    "FailureKind",
    "Headers",
    "end_to_end",
    "header_value",
]

# Names in lower case, in the order in which they came.
Headers = tuple[tuple[bytes, bytes], ...]

# One read of a socket, in bytes: an event of a stream is a tenth of it.
READ_BYTES = 16 * 1024

# Headers that concern one connection only (RFC 9110, 7.6.1).
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


class FailureKind(StrEnum):
    """How far a call had come when its connection failed."""

    UNSENT = "unsent"
    LOST = "lost"
    MALFORMED = "malformed"


@dataclass
class ConnectionLostError(Exception):
    """A connection failed; the gateway turns it into an outcome where it is caught.

    `UNSENT` says that no byte of the request left this process, so that nobody ran it.
    """

    kind: FailureKind
    message: str

    def __str__(self) -> str:
        return f"{self.kind}: {self.message}"


def header_value(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Return the first header of a lower-case name, empty where it's absent."""
    for each, value in headers:
        if each == name:
            return value
    return b""


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that travel on, without those that concern one connection only."""
    headers = tuple(headers)
    named = header_value(headers, b"connection").lower().split(b",")
    local = _HOP_BY_HOP.union(each.strip() for each in named)
    return tuple((name, value) for name, value in headers if name not in local)
