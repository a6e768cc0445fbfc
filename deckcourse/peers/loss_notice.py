"""Datagrams about lost upstreams, and about the upstreams whose connections a follower watches.

They share a port with gossip digests and start with a byte that never begins a digest.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from deckcourse.decisions.loss_reports import Evidence
from deckcourse.peers.member import MAX_TEXT_LENGTH

__all__ = [
    "LOSS_PREFIX",
    "MAX_ROWS",
    "LossMessage",
    "LossNotice",
    "LossRow",
    "WatchUpdate",
    "decode_loss_message",
    "encode_loss_message",
]

# In msgpack this is nil, while a digest is an array.
LOSS_PREFIX = b"\xc0"
# Upstreams in one datagram: 16 of 30 bytes each fit in one packet.
MAX_ROWS = 16

_Text = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]


class LossRow(msgspec.Struct, frozen=True, array_like=True):
    """One upstream, by the id of its incarnation, and what was observed."""

    instance: _Text
    evidence: Evidence


class LossNotice(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """What a process observed.

    Attributes:
      reporter: the name of the process that observed it.
      domain: its failure domain; processes of another one may not know it as a member.
      rows: the upstreams.
      pass_on: whether the recipient sends it to the members of its failure domain.
    """

    reporter: _Text
    domain: _Text
    rows: Annotated[tuple[LossRow, ...], Meta(min_length=1, max_length=MAX_ROWS)]
    pass_on: bool = False


class WatchUpdate(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Upstreams to which a follower holds a connection."""

    sender: _Text
    instances: Annotated[tuple[_Text, ...], Meta(min_length=1, max_length=MAX_ROWS)]


LossMessage = LossNotice | WatchUpdate

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LossMessage)


def encode_loss_message(message: LossMessage) -> bytes:
    """Encode a message as a datagram."""
    return LOSS_PREFIX + _encoder.encode(message)


def decode_loss_message(data: bytes) -> LossMessage | None:
    """Decode the message in a datagram; return None if it is malformed."""
    try:
        return _decoder.decode(data[len(LOSS_PREFIX) :])
    except (msgspec.MsgspecError, RecursionError):
        return None  # Unknown trailing fields may be nested too deeply.
