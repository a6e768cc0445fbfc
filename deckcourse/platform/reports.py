"""Runners' reports and their answers to orders, as decoded from JSON."""

from typing import Annotated, TypeVar

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType

from deckcourse.platform.row_checks import Layer, problem_with_layers

__all__ = ["OrderAnswer", "Report", "decoded", "held_range"]

_Decoded = TypeVar("_Decoded", bound=Struct)

# Bounds on the numbers in a report; anything beyond them is malformed.
LARGEST_COUNT = 2**53
SLOWEST_PACE = 1e6

_Count = Annotated[int, Meta(ge=0, le=LARGEST_COUNT)]


class _Waiting(Struct):
    """A request that waits, and the address of the runner that it waits for."""

    id: str
    address: str = ""


class _LayerRange(Struct):
    """A range of layers; `targetVersion` is its exclusive end."""

    rangeStart: Layer  # noqa: N815
    targetVersion: Layer  # noqa: N815


class Report(Struct):
    """A runner's report; `sequence` counts its orders, `pace` over 1 says how slow it is.

    An answer that lacks any of the first three fields is not a report. `layers` holds the ranges
    held, None for none; `utilization` is true while an order is under way. `born` tells its start.
    """

    sequence: _Count
    running: _Count
    queued: _Count
    kvUsed: _Count = 0  # noqa: N815
    kvTotal: _Count = 0  # noqa: N815
    pace: Annotated[float, Meta(ge=0.0, le=SLOWEST_PACE)] = 1.0
    stalled: list[_Waiting] = []
    layers: _LayerRange | list[_LayerRange] | UnsetType | None = UNSET
    utilization: bool = False
    born: int | UnsetType = UNSET


class OrderAnswer(Struct):
    """An order's answer; `address` names the runner whose part is missing."""

    address: str = ""
    born: int | UnsetType = UNSET


def held_range(report: Report) -> tuple[int, int] | None:
    """Return the first non-empty range that a runner reports, its end exclusive, (0, 0) for none.

    Return None if the report has no `layers` field or an invalid range.
    """
    layers = report.layers
    if layers is UNSET:
        return None
    ranges = layers if isinstance(layers, list) else [layers] if layers else []
    if problem_with_layers(ranges):
        return None
    held = [each for each in ranges if each.rangeStart < each.targetVersion]
    return (held[0].rangeStart, held[0].targetVersion) if held else (0, 0)


def decoded(content: bytes, kind: type[_Decoded]) -> _Decoded | None:
    """Return a body as the kind of message that is expected, None if it is malformed."""
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, RecursionError):
        return None  # Unknown fields may be nested without end.
