"""The hosts that one process leaves out of the paths of all its running streams for a short time.

Load pattern: after a loss, half of all moves were refused because of hosts that another stream or
process had found to be gone just before. Each refused move takes some of the 200 to 250 ms that a
stream may pause.
"""

from enum import StrEnum

__all__ = ["GoneEvidence", "GoneHosts"]


class GoneEvidence(StrEnum):
    """Why a host counts as gone.

    REPORTED if a peer reported it, which may be wrong; MISSING if a move was answered that its
    stage is not there; LOST if its loss is confirmed.
    """

    REPORTED = "reported"
    MISSING = "missing"
    LOST = "lost"


# How long each kind of evidence counts. A report is verified within 0.4 s. Streams that depend on a
# lost host are cut after 2 to 3 s; within half of that they are moved, and what the host holds
# can't change much sooner: loading layers takes seconds.
TTL_SECONDS = {
    GoneEvidence.REPORTED: 0.4,
    GoneEvidence.MISSING: 1.2,
    GoneEvidence.LOST: 1.2,
}


class GoneHosts:
    """Hosts that count as gone, each for a limited time after the latest evidence."""

    def __init__(self) -> None:
        self._until: dict[GoneEvidence, dict[str, float]] = {each: {} for each in GoneEvidence}

    def note(self, instance: str, evidence: GoneEvidence, now: float) -> None:
        """Record evidence that a host is gone."""
        self._until[evidence][instance] = now + TTL_SECONDS[evidence]

    def note_alive(self, instance: str) -> None:
        """Record that a host answers; a stage that it said to be missing stays so."""
        self._until[GoneEvidence.REPORTED].pop(instance, None)
        self._until[GoneEvidence.LOST].pop(instance, None)

    def known(self, now: float, *evidence: GoneEvidence) -> frozenset[str]:
        """Return the hosts that are gone by some kinds of evidence, by any kind if none is given.

        Args:
          now: the time, seconds.
          evidence: the kinds.
        """
        gone: set[str] = set()
        for kind in evidence or GoneEvidence:
            known = self._until[kind]
            for instance in [name for name, until in known.items() if until <= now]:
                del known[instance]
            gone.update(known)
        return frozenset(gone)
