"""Plain services beside the model engines: their port and their messages."""

from dataclasses import dataclass
from typing import Protocol

from deckcourse.engine import Lost, Refused, Unreachable

__all__ = ["PlainService", "ServiceCall", "ServiceReply"]


@dataclass(frozen=True)
class ServiceCall:
    """A call as the upstream gets it; `request` names it in the logs of both sides."""

    request: str
    method: str
    path: str
    body: bytes
    content_type: str
    action: str = ""


@dataclass(frozen=True)
class ServiceReply:
    """The upstream's whole reply."""

    status: int
    body: bytes
    content_type: str


class PlainService(Protocol):
    """An upstream that answers a call with one reply."""

    async def call(self, call: ServiceCall) -> ServiceReply | Unreachable | Refused | Lost:
        """Send the call once, on a connection of its own."""
