"""What stand-in engines say to each other, and what kind of machine each plays."""

from dataclasses import dataclass

from deckcourse.engine import Engine, EngineFailure, Hop

__all__ = ["EngineSpec", "LayerRun", "StandinStage", "StepCall", "StepMissing", "StepReply"]


@dataclass(frozen=True)
class EngineSpec:
    """What kind of machine a stand-in plays; `layer_rate` in layers times tokens a second.

    It does `batch` streams at once: that many together reach the rate, one alone a part of it.
    """

    name: str
    address: str
    domain: str
    incarnation: int = 1
    layer_rate: float = 2000.0
    layer_room: int = 8
    batch: int = 1
    slots: int = 32
    checks_fence: bool = True
    load_seconds: float = 0.05


@dataclass(frozen=True)
class LayerRun:
    """The record of one run: which layers, for which position of which request."""

    engine: str
    request: str
    attempt: int
    position: int
    first: int
    end: int


@dataclass(frozen=True)
class StepCall:
    """One stage's call to the next: the positions from `first` on, and the stages to come."""

    request: str
    attempt: int
    model: str
    hops: tuple[Hop, ...]
    first: int
    inputs: tuple[int, ...]


@dataclass(frozen=True)
class StepReply:
    """The last position's final output, and the stages that it passed."""

    output: int
    trace: str


@dataclass(frozen=True)
class StepMissing:
    """The stage holds nothing from `position` on; the caller sends from there."""

    position: int


class StandinStage(Engine):
    """An engine that other engines can hand steps to."""

    async def step(self, call: StepCall) -> StepReply | StepMissing | EngineFailure:
        """Run this stage's layers, and those of the stages after it."""
        raise NotImplementedError

    async def finish(self, request: str, attempt: int, hops: tuple[Hop, ...]) -> None:
        """Let go of what this stage, and those after it, hold of a request."""
        raise NotImplementedError
