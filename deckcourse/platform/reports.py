"""The JSON format of runners' reports and of their replies to orders."""

from typing import Annotated, TypeVar

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType

from deckcourse.platform.row_checks import Layer, problem_with_layers

__all__ = ["OrderAnswer", "Report", "decode_message", "held_range"]

_Decoded = TypeVar("_Decoded", bound=Struct)

# Limits of the numbers in a report; a report that exceeds them is malformed.
MAX_COUNT = 2**53
MAX_PACE = 1e6

_Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]


class _StalledRequest(Struct):
    """A stalled request, and the address of the runner that blocks it."""

    id: str
    address: str = ""


class _LayerRange(Struct):
    """A range of layers; `targetVersion` is its exclusive end."""

    rangeStart: Layer  # noqa: N815
    targetVersion: Layer  # noqa: N815


class Report(Struct):
    """A runner's report; a reply that lacks any of the first three fields is not a report.

    `sequence` is the number of orders taken, `pace` the factor by which the runner is slower than
    usual, `layers` the held ranges (None for none) and `born` the runner's start time.
    `utilization` is true while it executes an order.
    """

    sequence: _Count
    running: _Count
    queued: _Count
    kvUsed: _Count = 0  # noqa: N815
    kvTotal: _Count = 0  # noqa: N815
    pace: Annotated[float, Meta(ge=0.0, le=MAX_PACE)] = 1.0
    stalled: list[_StalledRequest] = []
    layers: _LayerRange | list[_LayerRange] | UnsetType | None = UNSET
    utilization: bool = False
    born: int | UnsetType = UNSET


class OrderAnswer(Struct):
    """The reply to an order; `address` is that of the runner whose part is missing."""

    address: str = ""
    born: int | UnsetType = UNSET


def held_range(report: Report) -> tuple[int, int] | None:
    """Return the first non-empty range that a runner reports, (0, 0) if there is none.

    The end is exclusive. Return None if the report has no `layers` field or an invalid range.
    """
    layers = report.layers
    if layers is UNSET:
        return None
    ranges = layers if isinstance(layers, list) else [layers] if layers else []
    if problem_with_layers(ranges):
        return None
    held = [each for each in ranges if each.rangeStart < each.targetVersion]
    return (held[0].rangeStart, held[0].targetVersion) if held else (0, 0)


def decode_message(content: bytes, kind: type[_Decoded]) -> _Decoded | None:
    """Return a decoded message of the expected kind, None if the body is malformed."""
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, RecursionError):
        return None  # Unknown fields may be nested arbitrarily deep.
