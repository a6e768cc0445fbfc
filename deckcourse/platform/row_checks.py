"""What a row has to hold for it to name a runner: bytes that can be read, and values in bounds.

Anybody may write rows beside the runners' own. One that holds anything else names no runner.
"""

import re
from collections.abc import Sequence
from enum import StrEnum
from typing import Annotated, Protocol, TypeVar

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

__all__ = [
    "Born",
    "Cold",
    "HeldLayers",
    "Layer",
    "Name",
    "RunnerState",
    "Sequence64",
    "Slots",
    "decoded",
    "problem_with_key",
    "problem_with_layers",
]

_Decoded = TypeVar("_Decoded")

# Far beyond any model: layers of a range are counted one by one, and 10^9 fill the memory.
MOST_LAYERS = 10_000
# Far beyond any runner: a share of the places must not vanish.
MOST_SLOTS = 1_000_000
# The largest number that peers' frames carry.
LARGEST_WHOLE = 2**63 - 1
# Names go into groups' names, and those into keys of the store, which takes 200 bytes.
LONGEST_NAME = 100
# A key goes into a header as it is: visible letters, and no more than the store takes.
_KEY = re.compile(r"[!-~]{1,200}")

Name = Annotated[str, Meta(min_length=1, max_length=LONGEST_NAME)]
Slots = Annotated[int, Meta(ge=1, le=MOST_SLOTS)]
Layer = Annotated[int, Meta(ge=0, le=MOST_LAYERS)]
Sequence64 = Annotated[int, Meta(ge=0, le=LARGEST_WHOLE)]
# How much longer a runner stays slow, milliseconds.
Cold = Annotated[int, Meta(ge=0)] | Annotated[float, Meta(ge=0)]
# The time of a runner's start, Unix milliseconds.
Born = Annotated[int, Meta(ge=0, le=LARGEST_WHOLE)]


class RunnerState(StrEnum):
    """The states that a runner may say of itself."""

    READY = "ready"
    LEAVING = "draining"


class HeldLayers(Protocol):
    """A range of layers, its end left out."""

    rangeStart: int  # noqa: N815
    targetVersion: int  # noqa: N815


def decoded(value: bytes, kind: type[_Decoded]) -> Result[_Decoded, str]:
    """Return what bytes hold, or what is wrong with them: whatever they are, nothing is raised."""
    try:
        # Fields that nobody reads are passed over by the decoder, whatever bytes they hold.
        value.decode()
        return Success(msgspec.json.decode(value, type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(str(error))
    except RecursionError:
        return Failure("nested too deep")


def problem_with_key(key: str) -> str:
    """Return why a key names no runner, empty where it may."""
    return "" if _KEY.fullmatch(key) else "the key can't stand in a header"


def problem_with_layers(ranges: Sequence[HeldLayers]) -> str:
    """Return what is wrong with ranges of layers, empty where nothing is."""
    if any(each.targetVersion < each.rangeStart for each in ranges):
        return "a range of layers ends before its start"
    return ""
