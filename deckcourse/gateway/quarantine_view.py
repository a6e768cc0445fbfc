"""The suspect requests of one process, as shown to operators."""

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
    """A suspect request, by its identity: its crash count, crashed upstreams and quarantine.

    `refused_seconds` is the remaining quarantine time, 0 if the request may run.
    """

    identity: str
    ends: int
    instances: tuple[str, ...]
    refused_seconds: float


def quarantine_of(evidence: CrashEvidence, now: float) -> tuple[QuarantineView, ...]:
    """Return the suspect requests, ordered by their last reported crash.

    Args:
      evidence: the evidence of the process.
      now: the current time on its clock.
    """
    views = []
    for identity in evidence.identities:
        until = evidence.quarantined_until(identity)
        seconds = 0.0 if until is None else round(until - now, 1)
        crashed = evidence.crashed_instances(identity)
        views.append(QuarantineView(identity, evidence.crash_count(identity), crashed, seconds))
    return tuple(views)


def encode_quarantine(views: tuple[QuarantineView, ...]) -> bytes:
    """Return a list of suspect requests as JSON."""
    return msgspec.json.encode(views)


def decode_quarantine(data: bytes) -> tuple[QuarantineView, ...]:
    """Return the list of suspect requests in a response.

    Raises:
      msgspec.MsgspecError: the response is malformed.
    """
    return msgspec.json.decode(data, type=tuple[QuarantineView, ...])
