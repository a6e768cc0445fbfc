"""A caller's request that one process hands over to another, over their connection.

It is sent to the address for peers, where no caller can send one.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from deckcourse.peers.member import MAX_INTEGER, MAX_TEXT_LENGTH

__all__ = [
    "HANDOVER_PATH",
    "MAX_ENVELOPE_BYTES",
    "MAX_UPSTREAMS",
    "HandedRequest",
    "decode_handed_request",
    "encode_handed_request",
]

HANDOVER_PATH = b"/handover"
# What a request takes in addition to its own head and body, at most.
MAX_ENVELOPE_BYTES = 8192
# Largest number of upstreams that an earlier process may name.
MAX_UPSTREAMS = 16
# Longest time that a request may have left, seconds.
MAX_SECONDS = 86_400.0

_Text = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]
_Integer = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
_Seconds = Annotated[float, Meta(ge=0.0, le=MAX_SECONDS)]


class HandedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A caller's request that one process hands over to another.

    Attributes:
      version: the version of the sender's desired state.
      method: the request's method.
      target: its path and query, byte for byte.
      headers: its headers.
      body: its body.
      remaining_seconds: the time left until its deadline.
      last_event: the last event that the caller has of a stream, None if it has none.
      executed_by: the upstreams that may execute it already, by their instances.
      executions: how often it may have been executed.
      allowance: how many upstreams besides `executed_by` may execute it.
    """

    version: _Integer
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    remaining_seconds: _Seconds
    last_event: _Integer | None = None
    executed_by: Annotated[tuple[_Text, ...], Meta(max_length=MAX_UPSTREAMS)] = ()
    executions: _Integer = 0
    allowance: _Integer = 1


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(HandedRequest)


def encode_handed_request(request: HandedRequest) -> bytes:
    """Encode a request that is handed over."""
    return _encoder.encode(request)


def decode_handed_request(data: bytes) -> HandedRequest | None:
    """Decode a request that was handed over; return None if it is malformed."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None
