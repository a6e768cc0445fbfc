"""The suspect requests of one process, as shown to operators."""

import msgspec

from deckcourse.gateway.crash_evidence import CrashEvidence
from deckcourse.gateway.part_evidence import PartEvidence

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

    `refused_seconds` is the remaining quarantine time, 0 if the request may run. `kind` is
    "request", or "part" for a part of prompts, whichever requests it comes in.
    """

    identity: str
    ends: int
    instances: tuple[str, ...]
    refused_seconds: float
    kind: str = "request"


def quarantine_of(
    evidence: CrashEvidence, parts: PartEvidence, now: float
) -> tuple[QuarantineView, ...]:
    """Return the suspect requests and parts, each ordered by their last reported crash.

    Args:
      evidence: the evidence of the process on requests.
      parts: its evidence on parts of prompts.
      now: the current time on its clock.
    """
    views = []
    for identity in evidence.identities:
        until = evidence.quarantined_until(identity)
        seconds = 0.0 if until is None else round(until - now, 1)
        crashed = evidence.crashed_instances(identity)
        views.append(QuarantineView(identity, evidence.crash_count(identity), crashed, seconds))
    for identity in parts.identities:
        until = parts.quarantined_until((identity,))
        seconds = 0.0 if until is None else round(until - now, 1)
        crashed = parts.crashed_instances(identity)
        count = parts.crash_count(identity)
        views.append(QuarantineView(identity, count, crashed, seconds, "part"))
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
