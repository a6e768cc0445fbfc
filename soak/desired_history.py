"""The desired states of a site, and which of them may be in force at a time."""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Protocol

from soak.contact import APPLY_SECONDS

__all__ = ["DesiredHistory", "DesiredState"]


class DesiredState(Protocol):
    """What a desired state says, as far as it is judged."""

    def account_of(self, key: str) -> str:
        """Return the account that has a key, or an empty text."""

    def services_of(self, path: str) -> Collection[str]:
        """Return the services that get requests for a route's path; none if it has no route."""

    def timeout_of(self, path: str) -> float:
        """Return the timeout of the route of a path, in seconds."""


@dataclass
class DesiredHistory:
    """The desired states that the store took, in order, each with its time on trio's clock."""

    versions: list[tuple[float, DesiredState]] = field(default_factory=list)

    def add(self, at: float, state: DesiredState) -> None:
        """Add the state that the store took at a time."""
        self.versions.append((at, state))

    def in_force(
        self, begin: float, end: float, apply_seconds: float = APPLY_SECONDS
    ) -> list[DesiredState]:
        """Return the states that machines in touch may follow at some time.

        A state may be in force from the moment at which the store takes it until the time for a
        change has passed since the store took the next one.
        """
        ends = [at + apply_seconds for at, _ in self.versions[1:]] + [float("inf")]
        return [
            state
            for (at, state), until in zip(self.versions, ends, strict=True)
            if at <= end and until >= begin
        ]

    def until(self, end: float) -> list[DesiredState]:
        """Return all states that the store took until a time."""
        return [state for at, state in self.versions if at <= end]

    def allows(self, key: str, path: str, begin: float, end: float) -> bool:
        """Return whether every state that may be in force has a key and the route of a path."""
        return all(
            each.account_of(key) and each.services_of(path) for each in self.in_force(begin, end)
        )

    def always_allows(self, key: str, path: str) -> bool:
        """Return whether all states have a key and the route of a path."""
        return all(state.account_of(key) and state.services_of(path) for _, state in self.versions)

    def was_added(self, key: str, path: str, end: float) -> bool:
        """Return whether a state until a time lacked a key or the route of a path."""
        return not all(each.account_of(key) and each.services_of(path) for each in self.until(end))

    def longest_timeout(self, path: str, begin: float, end: float) -> float:
        """Return the longest timeout of a route that may be in force, in seconds."""
        return max(each.timeout_of(path) for each in self.in_force(begin, end))

    def shortest_timeout(self, path: str, begin: float, end: float) -> float:
        """Return the shortest timeout of a route that may be in force, in seconds.

        It is infinite if no state in force has the route.
        """
        timeouts = [each.timeout_of(path) for each in self.in_force(begin, end)]
        return min((each for each in timeouts if each), default=float("inf"))
