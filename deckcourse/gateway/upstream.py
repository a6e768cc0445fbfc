"""One incarnation of an upstream, and how two incarnations compare."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["StartOrder", "Upstream"]


class StartOrder(StrEnum):
    """The incarnation that sent a reply, relative to the one that was addressed."""

    SAME = "same"
    NEWER = "newer"
    OLDER = "older"


@dataclass(frozen=True)
class Upstream:
    """One incarnation of an upstream; `instance` differs for each incarnation.

    `first` (inclusive) and `end` (exclusive) are the held layer range, 0 and 0 for none. `row_name`
    is the name that all incarnations share, empty if it equals `instance`. `start` is the start
    time, which rises with each incarnation; None if unknown.
    """

    instance: str
    service: str
    address: str
    domain: str
    leaving: bool = False
    slots: int = 1
    kind: str = ""
    models: tuple[str, ...] = ()
    first: int = 0
    end: int = 0
    row_name: str = ""
    start: int | None = None

    @property
    def name(self) -> str:
        """The name that all incarnations share."""
        return self.row_name or self.instance
