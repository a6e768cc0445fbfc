"""A process as others know it, and the message in which processes tell of each other."""

from typing import Annotated

import msgspec
from msgspec import Meta

from deckcourse.peers.crash import MOST_TOLD, Crash

__all__ = ["LONGEST_TEXT", "Digest", "Member", "decode_digest", "encode_digest"]


# Letters of a name, an address or a failure domain; more would fill packets and memory.
LONGEST_TEXT = 200
# A process does at the most so many times as much as another, or as little.
LARGEST_WEIGHT = 1e6
# Members in one digest; ours hold fewer than 20.
MOST_MEMBERS = 256
# The largest number that can be packed on one process's way to the next.
LARGEST_WHOLE = 2**63 - 1

_Text = Annotated[str, Meta(min_length=1, max_length=LONGEST_TEXT)]
_Whole = Annotated[int, Meta(ge=0, le=LARGEST_WHOLE)]


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One start of a process; `beat` rises while it lives.

    `start` is the time of day of its start, in milliseconds: a later one under the same name goes
    before an earlier one. `address` is where it listens to other processes, by TCP and UDP alike.
    `weight` says how much it can do for others against the rest; `leaving` that it is about to end.
    """

    name: _Text
    start: _Whole
    address: _Text
    domain: _Text
    weight: Annotated[float, Meta(ge=0.0, le=LARGEST_WEIGHT)] = 1.0
    beat: _Whole = 0
    leaving: bool = False


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Some of the members that `sender` knows; one that `asks` wants a digest back.

    `crashes` are upstreams that ended under requests of late.
    """

    sender: Member
    members: Annotated[tuple[Member, ...], Meta(max_length=MOST_MEMBERS)] = ()
    asks: bool = False
    crashes: Annotated[tuple[Crash, ...], Meta(max_length=MOST_TOLD)] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Digest)


def encode_digest(digest: Digest) -> bytes:
    """Return a digest as bytes."""
    return _encoder.encode(digest)


def decode_digest(data: bytes) -> Digest | None:
    """Return the digest that was received, None where it is none."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None  # Fields that nobody reads may be nested without end.
