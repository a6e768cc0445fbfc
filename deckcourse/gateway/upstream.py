"""One start of an upstream, and which start says something."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["StartNews", "Upstream"]


class StartNews(StrEnum):
    """Which start of an upstream says something, beside the one that was asked."""

    SAME = "same"
    NEWER = "newer"
    OLDER = "older"


@dataclass(frozen=True)
class Upstream:
    """One start of an upstream; `instance` is new at each start.

    `first` and `end` are the layers held, `end` left out; 0 and 0 for none. `row_name` is what the
    upstream is called in all its starts, empty where `instance` is; `start` rises from one start to
    the next, None where it isn't told.
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
        """What it is called in all its starts."""
        return self.row_name or self.instance
