"""Members of the site, and the gossip digest that carries them between processes."""

from typing import Annotated

import msgspec
from msgspec import Meta

from deckcourse.peers.crash import MAX_CRASHES_PER_DIGEST, Crash, Identity

__all__ = ["MAX_TEXT_LENGTH", "Digest", "Member", "decode_digest", "encode_digest"]


# Largest length of a name, an address or a failure domain, in characters. Longer ones would fill
# packets and memory.
MAX_TEXT_LENGTH = 200
# Upper bound on the capacity of a process relative to the others.
MAX_WEIGHT = 1e6
# Largest number of members accepted in one digest; this version sends fewer than 20.
MAX_ACCEPTED_MEMBERS = 256
# Largest number of tables in one digest.
MAX_TABLES = 64
# The largest integer that a digest can carry from process to process.
MAX_INTEGER = 2**63 - 1

_Text = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]
_Integer = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a process.

    Attributes:
      name: its name, the same in all its incarnations.
      start: the wall-clock time of its start, in milliseconds. Of two incarnations under the same
        name, the one that started later supersedes the other.
      address: where it accepts other processes, over both TCP and UDP.
      domain: its failure domain.
      weight: its capacity for serving others, relative to the other members.
      heartbeat: a counter that rises while it is alive.
      leaving: whether it announced its shutdown.
    """

    name: _Text
    start: _Integer
    address: _Text
    domain: _Text
    weight: Annotated[float, Meta(ge=0.0, le=MAX_WEIGHT)] = 1.0
    heartbeat: _Integer = 0
    leaving: bool = False


# The version of the newest change of each table.
ChangedVersions = Annotated[
    dict[Annotated[str, Meta(max_length=MAX_TEXT_LENGTH)], _Integer], Meta(max_length=MAX_TABLES)
]


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """A gossip message.

    Attributes:
      sender: the process that sent it.
      members: some of the other members that the sender knows.
      wants_reply: whether the sender wants a digest in return.
      crashes: recent crashes of upstreams during requests.
      cleared: parts of prompts with which a request has just succeeded.
      changed: the version of the newest change of each table, if the sender reads the store.
    """

    sender: Member
    members: Annotated[tuple[Member, ...], Meta(max_length=MAX_ACCEPTED_MEMBERS)] = ()
    wants_reply: bool = False
    crashes: Annotated[tuple[Crash, ...], Meta(max_length=MAX_CRASHES_PER_DIGEST)] = ()
    cleared: Annotated[tuple[Identity, ...], Meta(max_length=MAX_CRASHES_PER_DIGEST)] = ()
    changed: ChangedVersions = {}


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Digest)


def encode_digest(digest: Digest) -> bytes:
    """Encode a digest as a datagram."""
    return _encoder.encode(digest)


def decode_digest(data: bytes) -> Digest | None:
    """Decode a received digest; return None if it is malformed."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None  # Unknown trailing fields may be nested too deeply.
