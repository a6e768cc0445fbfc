"""The desired states of a site, and which of them may be in force at a time."""

from dataclasses import dataclass, field
from typing import Protocol

from soak.contact import APPLY_SECONDS

__all__ = ["DesiredHistory", "DesiredState"]


class DesiredState(Protocol):
    """What a desired state says, as far as it is judged; `keys` are those of all callers."""

    @property
    def keys(self) -> tuple[str, ...]:
        """The valid keys."""

    @property
    def timeout_seconds(self) -> float:
        """The timeout of the routes."""


@dataclass
class DesiredHistory:
    """The desired states that the store took, in order, each with its time on trio's clock."""

    versions: list[tuple[float, DesiredState]] = field(default_factory=list)

    def add(self, at: float, state: DesiredState) -> None:
        """Add the state that the store took at a time."""
        self.versions.append((at, state))

    def in_force(self, begin: float, end: float) -> list[DesiredState]:
        """Return the states that machines in touch may follow at some time.

        A state may be in force from the moment at which the store takes it until the time for a
        change has passed since the store took the next one.
        """
        ends = [at + APPLY_SECONDS for at, _ in self.versions[1:]] + [float("inf")]
        return [
            state
            for (at, state), until in zip(self.versions, ends, strict=True)
            if at <= end and until >= begin
        ]

    def is_valid(self, key: str, begin: float, end: float) -> bool:
        """Return whether every state that may be in force from `begin` to `end` has a key."""
        return all(key in each.keys for each in self.in_force(begin, end))

    def may_be_valid(self, key: str, begin: float, end: float) -> bool:
        """Return whether a state that may be in force from `begin` to `end` has a key."""
        return any(key in each.keys for each in self.in_force(begin, end))

    def was_added(self, key: str) -> bool:
        """Return whether a key came with a later state than the first."""
        return bool(self.versions) and key not in self.versions[0][1].keys

    def is_always_valid(self, key: str) -> bool:
        """Return whether all states have a key."""
        return all(key in state.keys for _, state in self.versions)

    def longest_timeout(self, begin: float, end: float) -> float:
        """Return the longest timeout that may be in force from `begin` to `end`, in seconds."""
        return max(each.timeout_seconds for each in self.in_force(begin, end))
