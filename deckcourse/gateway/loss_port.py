"""What the other parts of a process need of the shared reports on lost upstreams."""

from typing import Protocol

from deckcourse.decisions.loss_reports import Evidence

__all__ = ["NO_REPORTS", "LossReports"]


class LossReports(Protocol):
    """What processes tell each other about lost upstreams."""

    def report(self, instance: str, evidence: Evidence) -> None:
        """Report what this process observed about an upstream."""

    def avoided(self) -> frozenset[str]:
        """Return the upstreams that new requests avoid if there are others."""

    def is_confirmed(self, instance: str) -> bool:
        """Return whether the loss of an upstream is confirmed."""

    def has_ended(self, instance: str) -> bool:
        """Return whether an upstream has ended, confirmed by its machine's refusals."""


class _NoReports:
    """Nothing is shared between processes."""

    def report(self, instance: str, evidence: Evidence) -> None:
        """Ignore a report."""

    def avoided(self) -> frozenset[str]:
        """Return no upstreams."""
        return frozenset()

    def is_confirmed(self, instance: str) -> bool:
        """Return False."""
        return False

    def has_ended(self, instance: str) -> bool:
        """Return False."""
        return False


NO_REPORTS = _NoReports()
