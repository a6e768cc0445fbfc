"""The requests under which upstreams ended, as one process tells an operator of them."""

import msgspec

from deckcourse.gateway.crash_evidence import CrashEvidence

__all__ = [
    "QUARANTINE_PATH",
    "QuarantineView",
    "decode_quarantine",
    "encode_quarantine",
    "quarantine_of",
]

QUARANTINE_PATH = b"/quarantine"


class QuarantineView(msgspec.Struct, frozen=True):
    """One request, by its identity: how many ends in a chain, of whom, and its refusal.

    `refused_seconds` is for how long it is refused from now on, 0 where it may run.
    """

    identity: str
    ends: int
    instances: tuple[str, ...]
    refused_seconds: float


def quarantine_of(evidence: CrashEvidence, now: float) -> tuple[QuarantineView, ...]:
    """Return what is known of each request, the one whose last end was latest at the end.

    Args:
      evidence: what the process knows.
      now: the moment on its clock.
    """
    views = []
    for identity in evidence.identities:
        until = evidence.refused_until(identity)
        seconds = 0.0 if until is None else round(until - now, 1)
        ended = evidence.instances(identity)
        views.append(QuarantineView(identity, evidence.ends(identity), ended, seconds))
    return tuple(views)


def encode_quarantine(views: tuple[QuarantineView, ...]) -> bytes:
    """Return a list as JSON."""
    return msgspec.json.encode(views)


def decode_quarantine(data: bytes) -> tuple[QuarantineView, ...]:
    """Return the list in an answer.

    Raises:
      msgspec.MsgspecError: the answer is none.
    """
    return msgspec.json.decode(data, type=tuple[QuarantineView, ...])
