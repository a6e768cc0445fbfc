"""Datagrams to and from the issuer: rate limits and their tokens, and retries.

They share a port with gossip digests and start with a byte that never begins a msgpack value.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from deckcourse.peers.member import MAX_TEXT_LENGTH, Member
from deckcourse.peers.purpose import Purpose
from deckcourse.peers.rate_limit import RateLimit

__all__ = [
    "MAX_LIMITS_PER_MESSAGE",
    "ISSUER_PREFIX",
    "IssuerMessage",
    "LimitUpdate",
    "RetryNeed",
    "RetryReply",
    "RetryRequest",
    "TokenReply",
    "TokenRequest",
    "TokenReturn",
    "decode_message",
    "encode_message",
]

ISSUER_PREFIX = b"\xc1"
# Limits in one datagram: 16 of 70 bytes each fit in one packet.
MAX_LIMITS_PER_MESSAGE = 16
# Largest number of retries that one message may ask for or grant.
MAX_RETRIES_PER_MESSAGE = 256
# Largest wait that a reply may ask for.
MAX_WAIT_SECONDS = 60.0

_Text = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]
_Wait = Annotated[float, Meta(ge=0.0, le=MAX_WAIT_SECONDS)]
_Count = Annotated[int, Meta(ge=0, le=MAX_RETRIES_PER_MESSAGE)]
_Number = Annotated[int, Meta(ge=0, le=2**53)]


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag="request"):
    """A request for one token.

    Attributes:
      number: correlates the reply.
      sender: the address for the reply.
      limit: the limit as known to the sender.
      purpose: the kind of message to be sent.
    """

    number: _Number
    sender: _Text
    limit: RateLimit
    purpose: Purpose = Purpose.REQUEST


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """The reply to a token request.

    Attributes:
      number: that of the request.
      granted: whether a token was issued.
      wait: time to wait before the next request, if denied, seconds.
      retry_after: Retry-After for a rejected caller, if denied, seconds.
      limit: the limit as known to the replying process.
      issuer: the current issuer, None if unknown.
    """

    number: _Number
    granted: bool
    wait: _Wait
    retry_after: _Wait
    limit: RateLimit
    issuer: Member | None = None


class TokenReturn(msgspec.Struct, frozen=True, array_like=True, tag="return"):
    """A token handed back unused."""

    instance: _Text


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True, tag="limits"):
    """Changed limits, or all of them if sent by the issuer."""

    limits: Annotated[tuple[RateLimit, ...], Meta(max_length=MAX_LIMITS_PER_MESSAGE)]
    issuer: Member | None = None


class RetryNeed(msgspec.Struct, frozen=True, array_like=True):
    """The retries that a process needs at a service.

    Attributes:
      service: the service.
      count: the number of retries wanted.
      is_urgent: whether they are for requests that were executed.
      has_waited: whether the process has not retried there for some seconds.
    """

    service: _Text
    count: _Count
    is_urgent: bool
    has_waited: bool


class RetryRequest(msgspec.Struct, frozen=True, array_like=True, tag="retries"):
    """A request for retries at a service.

    Attributes:
      number: correlates the reply.
      sender: the address for the reply.
      need: what the sender needs.
    """

    number: _Number
    sender: _Text
    need: RetryNeed


class RetryReply(msgspec.Struct, frozen=True, array_like=True, tag="granted"):
    """The reply to a request for retries.

    Attributes:
      number: that of the request.
      granted: the number of retries granted.
      wait: time to wait before the next request if none was granted, seconds.
      issuer: the current issuer, None if unknown.
    """

    number: _Number
    granted: _Count
    wait: _Wait
    issuer: Member | None = None


IssuerMessage = TokenRequest | TokenReply | TokenReturn | LimitUpdate | RetryRequest | RetryReply

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(IssuerMessage)


def encode_message(message: IssuerMessage) -> bytes:
    """Encode a message as a datagram."""
    return ISSUER_PREFIX + _encoder.encode(message)


def decode_message(data: bytes) -> IssuerMessage | None:
    """Decode the message in a datagram; return None if it is malformed."""
    try:
        return _decoder.decode(data[len(ISSUER_PREFIX) :])
    except (msgspec.MsgspecError, RecursionError):
        return None  # Unknown trailing fields may be nested too deeply.
