"""The platform's object store: its port and its in-memory twin."""

from enum import StrEnum
from typing import Protocol

from returns.result import Result, Success

__all__ = ["MemoryObjectStore", "ObjectFailure", "ObjectStore"]


class ObjectFailure(StrEnum):
    """Why a call has no answer."""

    UNAVAILABLE = "unavailable"


class ObjectStore(Protocol):
    """A store of named byte strings; an object is written whole or not at all."""

    async def get(self, name: str) -> Result[bytes | None, ObjectFailure]:
        """Return the object, None where it's absent."""

    async def put(self, name: str, value: bytes) -> Result[None, ObjectFailure]:
        """Write the object."""


class MemoryObjectStore:
    """The object store in memory."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    async def get(self, name: str) -> Result[bytes | None, ObjectFailure]:
        """Return the object, None where it's absent."""
        return Success(self._objects.get(name))

    async def put(self, name: str, value: bytes) -> Result[None, ObjectFailure]:
        """Write the object."""
        self._objects[name] = value
        return Success(None)
