"""The datagrams by which processes share rate limits: news of limits, and tokens for sendings.

They come to the same port as digests. A byte that begins no msgpack value stands before them.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from deckcourse.peers.member import LONGEST_TEXT, Member
from deckcourse.peers.purpose import Purpose
from deckcourse.peers.rate_limit import RateLimit

__all__ = [
    "MAX_LIMITS_PER_MESSAGE",
    "TOKEN_PREFIX",
    "LimitNews",
    "TokenMessage",
    "TokenReply",
    "TokenRequest",
    "TokenReturn",
    "decode_message",
    "encode_message",
]

TOKEN_PREFIX = b"\xc1"
# Limits in one datagram: 16 of 70 bytes stay within one packet.
MAX_LIMITS_PER_MESSAGE = 16
# Nobody is told to wait longer, seconds.
LONGEST_WAIT = 60.0

_Text = Annotated[str, Meta(min_length=1, max_length=LONGEST_TEXT)]
_Wait = Annotated[float, Meta(ge=0.0, le=LONGEST_WAIT)]
_Number = Annotated[int, Meta(ge=0, le=2**53)]


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag="request"):
    """A process asks the issuer for one token.

    Attributes:
      number: chosen by the one that asks, and repeated in the reply.
      sender: its address.
      limit: what it knows of the upstream's limit.
      purpose: what is to be sent.
    """

    number: _Number
    sender: _Text
    limit: RateLimit
    purpose: Purpose = Purpose.REQUEST


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """The answer to a request.

    Attributes:
      number: that of the request.
      granted: whether one request may be sent.
      wait: if not, after how long to ask again, seconds.
      retry_after: if not, after how long a caller who is refused may come back, seconds.
      limit: what the issuer knows of the limit.
      issuer: the process that issues tokens, None where the one asked doesn't know.
    """

    number: _Number
    granted: bool
    wait: _Wait
    retry_after: _Wait
    limit: RateLimit
    issuer: Member | None = None


class TokenReturn(msgspec.Struct, frozen=True, array_like=True, tag="return"):
    """A token was granted and will not be used."""

    instance: _Text


class LimitNews(msgspec.Struct, frozen=True, array_like=True, tag="limits"):
    """Limits that began, changed or ended; from the process that issues tokens, all of them."""

    limits: Annotated[tuple[RateLimit, ...], Meta(max_length=MAX_LIMITS_PER_MESSAGE)]
    issuer: Member | None = None


TokenMessage = TokenRequest | TokenReply | TokenReturn | LimitNews

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(TokenMessage)


def encode_message(message: TokenMessage) -> bytes:
    """Return a message as a datagram."""
    return TOKEN_PREFIX + _encoder.encode(message)


def decode_message(data: bytes) -> TokenMessage | None:
    """Return the message in a datagram, None where it is none."""
    try:
        return _decoder.decode(data[len(TOKEN_PREFIX) :])
    except (msgspec.MsgspecError, RecursionError):
        return None  # Fields that nobody reads may be nested without end.
