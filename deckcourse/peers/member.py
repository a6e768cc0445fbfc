"""A process as others know it, and the message in which processes tell of each other."""

import msgspec

__all__ = ["Digest", "Member", "decode_digest", "encode_digest"]


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One start of a process; `beat` rises while it lives.

    `start` is the time of day of its start, in milliseconds: a later one under the same name goes
    before an earlier one. `address` is where it listens to other processes, by TCP and UDP alike.
    `weight` says how much it can do for others against the rest; `leaving` that it is about to end.
    """

    name: str
    start: int
    address: str
    domain: str
    weight: float = 1.0
    beat: int = 0
    leaving: bool = False


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Some of the members that `sender` knows; one that `asks` wants a digest back."""

    sender: Member
    members: tuple[Member, ...] = ()
    asks: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Digest)


def encode_digest(digest: Digest) -> bytes:
    """Return a digest as bytes."""
    return _encoder.encode(digest)


def decode_digest(data: bytes) -> Digest | None:
    """Return the digest that was received, None where it is none."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
