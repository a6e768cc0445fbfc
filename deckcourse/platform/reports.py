"""Runners' reports and their answers to orders, as decoded from JSON."""

from typing import Annotated, TypeVar

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType

__all__ = ["OrderAnswer", "Report", "decoded"]

_Decoded = TypeVar("_Decoded", bound=Struct)

# Bounds on the numbers in a report; anything beyond them is malformed.
LARGEST_COUNT = 2**53
SLOWEST_PACE = 1e6

_Count = Annotated[int, Meta(ge=0, le=LARGEST_COUNT)]


class _Waiting(Struct):
    """A request that waits, and the address of the runner that it waits for."""

    id: str
    address: str = ""


class Report(Struct):
    """A runner's report; `sequence` counts its orders, `pace` over 1 says how slow it is.

    What lacks one of the first three is the answer to something else. `born` tells its start.
    """

    sequence: _Count
    running: _Count
    queued: _Count
    kvUsed: _Count = 0  # noqa: N815
    kvTotal: _Count = 0  # noqa: N815
    pace: Annotated[float, Meta(ge=0.0, le=SLOWEST_PACE)] = 1.0
    stalled: list[_Waiting] = []
    born: int | UnsetType = UNSET


class OrderAnswer(Struct):
    """An order's answer; `address` names the runner whose part is missing."""

    address: str = ""
    born: int | UnsetType = UNSET


def decoded(content: bytes, kind: type[_Decoded]) -> _Decoded | None:
    """Return a body as the kind of message that is expected, None if it is malformed."""
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, RecursionError):
        return None  # Unknown fields may be nested without end.
