"""The model engine as the router sees it: its port, its messages and its failures."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from deckcourse.route import LayerRange

__all__ = [
    "Engine",
    "EngineFailure",
    "EngineLoad",
    "EngineRefusal",
    "Fence",
    "FinishFrame",
    "Frame",
    "Hop",
    "LoadOrder",
    "Lost",
    "Order",
    "OrderReply",
    "Refused",
    "StreamLostError",
    "StreamStart",
    "TokenFrame",
    "UnloadOrder",
    "Unreachable",
]


@dataclass(frozen=True)
class Hop:
    """A stage as an engine is told of it: who, where, which layers."""

    instance: str
    address: str
    first: int
    end: int


@dataclass(frozen=True)
class StreamStart:
    """One attempt at one request, given to the first stage of its route.

    `delivered` holds the tokens that the caller has already; the engine goes on after them.
    `action` is the log action id that ties the caller's request to the upstream's work.
    """

    request: str
    attempt: int
    model: str
    route: tuple[Hop, ...]
    prompt: str
    delivered: tuple[int, ...]
    max_tokens: int
    priority: int = 0
    action: str = ""


@dataclass(frozen=True)
class TokenFrame:
    """One token: its place in the answer, and the stages that it passed."""

    attempt: int
    index: int
    token: int
    text: str
    trace: str


@dataclass(frozen=True)
class FinishFrame:
    """The end of an answer; `count` is the number of all its tokens."""

    attempt: int
    count: int
    reason: str


Frame = TokenFrame | FinishFrame


class EngineRefusal(StrEnum):
    """Why an engine refused before running anything."""

    BUSY = "busy"
    LEAVING = "leaving"
    NOT_LOADED = "not-loaded"
    FENCED = "fenced"
    BAD_REQUEST = "bad-request"


@dataclass(frozen=True)
class Unreachable:
    """No byte of the call was sent: the upstream can't have run it."""

    instance: str
    message: str


@dataclass(frozen=True)
class Refused:
    """The upstream says that it did not run the call."""

    instance: str
    refusal: EngineRefusal
    message: str


@dataclass(frozen=True)
class Lost:
    """The call went out and no whole reply came back: it may have run.

    `instance` is the stage at fault where the engine names one, else the one that was called.
    """

    instance: str
    message: str


EngineFailure = Unreachable | Refused | Lost


@dataclass(frozen=True)
class EngineLoad:
    """What an engine reports of itself, with a lag.

    `layer_rate` is in layers times tokens a second, all streams together; `step_seconds` how long
    one token takes through the layers held while the engine isn't overloaded; `layer_room` the
    most layers it can hold; `as_of` the reporter's count of reports, which only rises within an
    incarnation.
    """

    instance: str
    incarnation: int
    model: str
    first: int
    end: int
    streams: int
    slots: int
    layer_rate: float
    layer_room: int
    leaving: bool
    fence_epoch: int
    fence_sequence: int
    checks_fence: bool
    step_seconds: float = 0.0
    as_of: int = 0

    @property
    def layers(self) -> LayerRange | None:
        """The layers held, or None where nothing is loaded."""
        if not self.model:
            return None
        return LayerRange(self.first, self.end)


@dataclass(frozen=True, order=True)
class Fence:
    """The fencing token of an order: the lease's epoch, then the order's number in it."""

    epoch: int
    sequence: int


@dataclass(frozen=True)
class LoadOrder:
    """Load a model's layers `first` to `end`."""

    fence: Fence
    model: str
    first: int
    end: int


@dataclass(frozen=True)
class UnloadOrder:
    """Unload whatever is held, once no stream needs it."""

    fence: Fence


Order = LoadOrder | UnloadOrder


@dataclass(frozen=True)
class OrderReply:
    """`accepted` is false where a newer fence was seen; `load` is the state after the call."""

    accepted: bool
    load: EngineLoad


class Engine(Protocol):
    """A model engine that holds a range of layers."""

    def stream(
        self, start: StreamStart
    ) -> AbstractAsyncContextManager[AsyncIterator[tuple[Frame, ...]] | EngineFailure]:
        """Start or resume a stream; frames that are there together come together.

        The iterator raises `StreamLostError` when the stream breaks.
        """

    async def load(self) -> EngineLoad | EngineFailure:
        """Return the engine's report of itself."""

    async def order(self, order: Order) -> OrderReply | EngineFailure:
        """Give a fenced order; a repeated one is answered from what was done."""

    async def cancel(self, request: str, attempt: int) -> None:
        """Stop a stream for good and let go of what it holds; unknown ones are ignored."""


class StreamLostError(Exception):
    """A stream broke after it began; carries the failure as a value.

    An async iterator has no other way to end than by an exception; the pipeline turns it back
    into the value at once.
    """

    def __init__(self, failure: Lost | Refused) -> None:
        super().__init__(failure.message)
        self.failure = failure
