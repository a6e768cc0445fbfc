"""Validation of the rows that describe runners: well-formed JSON and values within limits.

Others than runners can write to the same table. Rows that fail validation are not used as runners.
"""

import re
from collections.abc import Sequence
from enum import StrEnum
from typing import Annotated, Protocol, TypeVar

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

__all__ = [
    "StartTime",
    "ColdMilliseconds",
    "HeldLayers",
    "Layer",
    "Name",
    "RunnerState",
    "Sequence64",
    "Slots",
    "decode_row",
    "problem_with_key",
    "problem_with_layers",
]

_Decoded = TypeVar("_Decoded")

# Far more than any model has. Layers of a range are counted one by one, and 10^9 of them would fill
# the memory.
MAX_LAYERS = 10_000
# Far more than any runner has. One request's share of a runner's slots must not become negligible.
MAX_SLOTS = 1_000_000
# The largest number that messages between peers can hold.
MAX_INTEGER = 2**63 - 1
# Names become parts of group names, and these of keys of the store, which are limited to 200 bytes.
MAX_NAME_LENGTH = 100
# A key is sent unchanged in a header, so it must be visible ASCII. The store limits its length.
_KEY = re.compile(r"[!-~]{1,200}")

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
Layer = Annotated[int, Meta(ge=0, le=MAX_LAYERS)]
Sequence64 = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
# The remaining time for which a runner is slow after its start, milliseconds.
ColdMilliseconds = Annotated[int, Meta(ge=0)] | Annotated[float, Meta(ge=0)]
# A runner's start time, Unix milliseconds.
StartTime = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]


class RunnerState(StrEnum):
    """The states that a runner can report."""

    READY = "ready"
    LEAVING = "draining"


class HeldLayers(Protocol):
    """A range of layers; `targetVersion` is its exclusive end."""

    rangeStart: int  # noqa: N815
    targetVersion: int  # noqa: N815


def decode_row(value: bytes, kind: type[_Decoded]) -> Result[_Decoded, str]:
    """Return the decoded value, or the error; no input raises an exception."""
    try:
        # The JSON decoder skips fields that `kind` lacks without checking that they are UTF-8.
        value.decode()
        return Success(msgspec.json.decode(value, type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(str(error))
    except RecursionError:
        return Failure("nested too deeply")


def problem_with_key(key: str) -> str:
    """Return why a key is not a valid runner id, an empty string if it is valid."""
    return "" if _KEY.fullmatch(key) else "the key is not valid in a header"


def problem_with_layers(ranges: Sequence[HeldLayers]) -> str:
    """Return why ranges of layers are invalid, an empty string if they are valid."""
    if any(each.targetVersion < each.rangeStart for each in ranges):
        return "a range of layers ends before its start"
    return ""
