"""The configuration: what operators have confirmed, as one value with a rising version."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from deckcourse.route import LayerRange, Stage

__all__ = [
    "Account",
    "Change",
    "Configuration",
    "FlowWeight",
    "ModelSpec",
    "Placement",
    "ServiceSpec",
    "apply_change",
    "incarnation_name",
]


@dataclass(frozen=True)
class ModelSpec:
    """A model to serve: its layers, and the capacity to hold in tokens a second."""

    name: str
    depth: int
    capacity: float


@dataclass(frozen=True)
class Placement:
    """The layers `first` to `end` of a model on one incarnation of a runner."""

    instance: str
    incarnation: int
    address: str
    domain: str
    model: str
    first: int
    end: int

    @property
    def stage(self) -> Stage:
        """The placement as a stage of a route."""
        return Stage(self.instance, self.address, self.domain, LayerRange(self.first, self.end))


@dataclass(frozen=True)
class FlowWeight:
    """The planned flow from one placement to the next, in tokens a second.

    `source` is empty where the flow enters the pipeline.
    """

    model: str
    source: str
    target: str
    flow: float


@dataclass(frozen=True)
class Account:
    """A client account: its hashed key, its limit in tokens a second and its worth.

    `worth` weighs one answered request against those of other accounts.
    """

    name: str
    key_hash: str
    tokens_per_second: float
    worth: float = 1.0


@dataclass(frozen=True)
class ServiceSpec:
    """A plain service; calls to one that isn't `repeatable` run at most once."""

    name: str
    repeatable: bool


@dataclass(frozen=True)
class Change:
    """One accepted change; `version` is the version that it makes.

    The parts are applied in the order of the fields; `weights` replaces all weights of the
    models that it names.
    """

    version: int
    plan: str
    models: tuple[ModelSpec, ...] = ()
    drop_models: tuple[str, ...] = ()
    drop_placements: tuple[str, ...] = ()
    placements: tuple[Placement, ...] = ()
    weights: tuple[FlowWeight, ...] = ()
    retire: tuple[str, ...] = ()
    accounts: tuple[Account, ...] = ()
    drop_accounts: tuple[str, ...] = ()
    services: tuple[ServiceSpec, ...] = ()


@dataclass(frozen=True)
class Configuration:
    """Everything confirmed, by name; `retired` holds `instance/incarnation` names."""

    version: int = 0
    models: dict[str, ModelSpec] = field(default_factory=dict)
    placements: dict[str, Placement] = field(default_factory=dict)
    weights: dict[str, tuple[FlowWeight, ...]] = field(default_factory=dict)
    retired: frozenset[str] = frozenset()
    accounts: dict[str, Account] = field(default_factory=dict)
    services: dict[str, ServiceSpec] = field(default_factory=dict)

    def placed(self, model: str) -> tuple[Placement, ...]:
        """Return the placements of a model."""
        return tuple(each for each in self.placements.values() if each.model == model)

    def is_retired(self, instance: str, incarnation: int) -> bool:
        """Return whether an operator retired this incarnation."""
        return incarnation_name(instance, incarnation) in self.retired


def incarnation_name(instance: str, incarnation: int) -> str:
    """Return the name of one incarnation of an instance."""
    return f"{instance}/{incarnation}"


def apply_change(base: Configuration, change: Change) -> Configuration:
    """Return the configuration after a change.

    A change that isn't the next one leaves the configuration as it is: versions only rise and
    none is skipped.
    """
    if change.version != base.version + 1:
        return base
    placements = _without(base.placements, change.drop_placements)
    return replace(
        base,
        version=change.version,
        models=_without(base.models, change.drop_models) | _named(change.models),
        placements=placements | {each.instance: each for each in change.placements},
        weights=base.weights | _weights_by_model(change.weights),
        retired=base.retired | frozenset(change.retire),
        accounts=_without(base.accounts, change.drop_accounts) | _named(change.accounts),
        services=base.services | _named(change.services),
    )


def _without(items: dict, names: Iterable[str]) -> dict:
    gone = frozenset(names)
    return {name: item for name, item in items.items() if name not in gone}


def _named(items: Iterable) -> dict:
    return {item.name: item for item in items}


def _weights_by_model(weights: Iterable[FlowWeight]) -> dict[str, tuple[FlowWeight, ...]]:
    by_model: dict[str, tuple[FlowWeight, ...]] = {}
    for weight in weights:
        by_model[weight.model] = (*by_model.get(weight.model, ()), weight)
    return by_model
