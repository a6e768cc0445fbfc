"""Datagrams by which processes tell each other which upstreams they reach.

They share a port with gossip digests and start with a byte that never begins a digest.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from deckcourse.peers.member import MAX_INTEGER, MAX_TEXT_LENGTH

__all__ = [
    "MAX_INSTANCES",
    "REACH_PREFIX",
    "ContactQuery",
    "ContactReply",
    "ReachMessage",
    "ReachQuery",
    "ReachReply",
    "decode_reach_message",
    "encode_reach_message",
]

# In msgpack this is true, while a digest is an array.
REACH_PREFIX = b"\xc3"
# Upstreams in one datagram: 16 of 30 bytes each fit in one packet.
MAX_INSTANCES = 16
# Largest age of a contact, seconds.
MAX_SECONDS = 86_400.0

_Text = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]
_Integer = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
_Seconds = Annotated[float, Meta(ge=0.0, le=MAX_SECONDS)]
_Instances = Annotated[tuple[_Text, ...], Meta(max_length=MAX_INSTANCES)]


class ReachQuery(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Asks a peer whether it can take requests for a service.

    Attributes:
      number: correlates the reply.
      sender: the name of the asking process.
      service: the service.
      version: the version of the sender's desired state.
    """

    number: _Integer
    sender: _Text
    service: _Text
    version: _Integer


class ReachReply(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """The reply of a peer.

    Attributes:
      number: that of the query.
      sender: the name of the peer.
      accepts: whether it takes requests for the service.
      contact_age: how long ago an upstream of the service answered it, seconds.
      requests: the requests that it has in hand.
    """

    number: _Integer
    sender: _Text
    accepts: bool
    contact_age: _Seconds = 0.0
    requests: _Integer = 0


class ContactQuery(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Asks a peer which of some upstreams answer it.

    Attributes:
      number: correlates the reply.
      sender: the name of the asking process.
      instances: the upstreams.
    """

    number: _Integer
    sender: _Text
    instances: _Instances


class ContactReply(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """The upstreams that answered the probes of a peer.

    Attributes:
      number: that of the query.
      sender: the name of the peer.
      instances: the upstreams.
    """

    number: _Integer
    sender: _Text
    instances: _Instances


ReachMessage = ReachQuery | ReachReply | ContactQuery | ContactReply

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ReachMessage)


def encode_reach_message(message: ReachMessage) -> bytes:
    """Encode a message as a datagram."""
    return REACH_PREFIX + _encoder.encode(message)


def decode_reach_message(data: bytes) -> ReachMessage | None:
    """Decode the message in a datagram; return None if it is malformed."""
    try:
        return _decoder.decode(data[len(REACH_PREFIX) :])
    except (msgspec.MsgspecError, RecursionError):
        return None  # Unknown trailing fields may be nested too deeply.
