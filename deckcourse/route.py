"""Routes: layer ranges held by upstreams that join from the first layer to the last."""

from dataclasses import dataclass

from deckcourse.errors import RouteError

__all__ = ["LayerRange", "Route", "Stage"]


@dataclass(frozen=True, order=True)
class LayerRange:
    """The layers `first` (included) to `end` (not included)."""

    first: int
    end: int

    def __post_init__(self) -> None:
        if not 0 <= self.first < self.end:
            raise RouteError(
                f"layers {self.first} to {self.end} are no range: want 0 <= first < end"
            )

    def __len__(self) -> int:
        return self.end - self.first


@dataclass(frozen=True)
class Stage:
    """One part of a pipeline: an upstream and the layers it holds."""

    instance: str
    address: str
    domain: str
    layers: LayerRange

    @property
    def trace(self) -> str:
        """How an engine names this stage in the trace of a token."""
        return f"{self.instance}:{self.layers.first}-{self.layers.end}"


@dataclass(frozen=True)
class Route:
    """An ordered list of stages that covers every layer of a model exactly once."""

    model: str
    depth: int
    stages: tuple[Stage, ...]

    def __post_init__(self) -> None:
        expected = 0
        for stage in self.stages:
            if stage.layers.first != expected:
                raise RouteError(
                    f"{self.model}: {stage.instance} starts at layer {stage.layers.first}, "
                    f"but layer {expected} is next"
                )
            expected = stage.layers.end
        if expected != self.depth:
            raise RouteError(f"{self.model}: route ends at layer {expected} of {self.depth}")

    @property
    def trace(self) -> str:
        """The trace that every token of this route must carry."""
        return ",".join(stage.trace for stage in self.stages)

    @property
    def stage_traces(self) -> frozenset[str]:
        """The traces of the stages."""
        return frozenset(stage.trace for stage in self.stages)

    @property
    def instances(self) -> frozenset[str]:
        """The names of the upstreams on the route."""
        return frozenset(stage.instance for stage in self.stages)
