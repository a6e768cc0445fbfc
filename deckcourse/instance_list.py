"""The platform's lagging list of live and leaving instances: its port and in-memory twin."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result, Success

__all__ = ["InstanceKind", "InstanceList", "ListFailure", "ListedInstance", "MemoryInstanceList"]


class InstanceKind(StrEnum):
    """What runs on an instance."""

    RUNNER = "runner"
    SERVICE = "service"
    ROUTER = "router"


class ListFailure(StrEnum):
    """Why the list has no answer."""

    UNAVAILABLE = "unavailable"


@dataclass(frozen=True)
class ListedInstance:
    """One line of the list; `incarnation` rises when the name is given to a new machine.

    `service` names the plain service of a SERVICE; `peer_addresses` are where the peers of a
    ROUTER's processes reach them.
    """

    name: str
    incarnation: int
    kind: InstanceKind
    address: str
    domain: str
    leaving: bool = False
    service: str = ""
    peer_addresses: tuple[str, ...] = ()


class InstanceList(Protocol):
    """The list of live and leaving instances; it lags behind the truth."""

    async def instances(self) -> Result[tuple[ListedInstance, ...], ListFailure]:
        """Return all lines of the list."""


class MemoryInstanceList:
    """The list in memory; `put` and `drop` are the platform's side of it."""

    def __init__(self) -> None:
        self._instances: dict[str, ListedInstance] = {}

    async def instances(self) -> Result[tuple[ListedInstance, ...], ListFailure]:
        """Return all lines of the list."""
        return Success(tuple(self._instances.values()))

    def put(self, instance: ListedInstance) -> None:
        """Add or replace a line."""
        self._instances[instance.name] = instance

    def drop(self, name: str) -> None:
        """Take a line out."""
        self._instances.pop(name, None)
