"""The messages between simulated engines, and the properties of the machine each simulates."""

from dataclasses import dataclass

from deckcourse.engine import Engine, EngineFailure, Hop

__all__ = ["EngineSpec", "LayerRun", "StandinStage", "StepCall", "StepMissing", "StepReply"]


@dataclass(frozen=True)
class EngineSpec:
    """The properties of a simulated machine; `layer_rate` is in layers times tokens per second.

    `batch` is the number of concurrent streams needed to reach that rate; a single stream gets
    1/`batch` of it.
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
    """The record of one layer run: the layer range and the request's position it ran for."""

    engine: str
    request: str
    attempt: int
    position: int
    first: int
    end: int


@dataclass(frozen=True)
class StepCall:
    """One stage's call to the next: the inputs of the positions from `first`, and the route.

    `hops` starts with the called stage.
    """

    request: str
    attempt: int
    model: str
    hops: tuple[Hop, ...]
    first: int
    inputs: tuple[int, ...]


@dataclass(frozen=True)
class StepReply:
    """The output of the last stage for the last position, and the trace of the stages."""

    output: int
    trace: str


@dataclass(frozen=True)
class StepMissing:
    """The stage has no outputs from `position` on; the caller must send the inputs from there."""

    position: int


class StandinStage(Engine):
    """An engine that other engines can call as a stage of a route."""

    async def step(self, call: StepCall) -> StepReply | StepMissing | EngineFailure:
        """Run the layers of this stage and of the following ones."""
        raise NotImplementedError

    async def finish(self, request: str, attempt: int, hops: tuple[Hop, ...]) -> None:
        """Release the request's session at this stage and the following ones."""
        raise NotImplementedError
