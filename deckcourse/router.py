"""The choice of a route: planned flow weights, corrected by work in flight and lagged load."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from deckcourse.configuration import Configuration, Placement
from deckcourse.membership import Membership
from deckcourse.route import Route

__all__ = ["Avoid", "RouteChooser", "Router"]

# Power of two choices, drawn by weight.
CHOICES = 2
SMALLEST_WEIGHT = 1e-3


@dataclass(frozen=True)
class Avoid:
    """What earlier attempts showed: upstreams and failure domains that are bad.

    `keep` holds the stages, by their trace, that did their part and still have the request's KV
    cache: the same upstream with other layers has not.
    """

    instances: frozenset[str] = frozenset()
    domains: frozenset[str] = frozenset()
    keep: frozenset[str] = frozenset()


class RouteChooser(Protocol):
    """How an entry chooses routes."""

    def begin(self, route: Route) -> None:
        """Count a stream that goes through the route."""

    def end(self, route: Route) -> None:
        """Stop counting a stream."""

    def choose(
        self, configuration: Configuration, model: str, now: float, avoid: Avoid = Avoid()
    ) -> Route | None:
        """Choose a route, None where the usable replicas don't cover every layer."""


class Router:
    """Draws routes; one for each entry, which counts its own work in flight."""

    def __init__(self, membership: Membership, random: Random) -> None:
        self._membership = membership
        self._random = random
        self._in_flight: Counter[str] = Counter()

    @property
    def in_flight(self) -> dict[str, int]:
        """This entry's own streams through each upstream."""
        return {name: count for name, count in self._in_flight.items() if count}

    def begin(self, route: Route) -> None:
        """Count a stream that goes through the route."""
        self._in_flight.update(route.instances)

    def end(self, route: Route) -> None:
        """Stop counting a stream."""
        self._in_flight.subtract(route.instances)

    def choose(
        self, configuration: Configuration, model: str, now: float, avoid: Avoid = Avoid()
    ) -> Route | None:
        """Draw a route.

        Upstreams in `avoid` are never taken; its failure domains only where nothing else
        carries the stage.

        Returns:
          The route, or None where the usable replicas don't cover every layer.
        """
        spec = configuration.models.get(model)
        if spec is None:
            return None
        usable = self._membership.usable(configuration, model, now, avoid.keep)
        places = [each for each in usable if each.instance not in avoid.instances]
        complete = _completable(places, spec.depth)
        stages: list[Placement] = []
        layer = 0
        while layer < spec.depth:
            options = [each for each in complete if each.first == layer]
            if not options:
                return None
            stages.append(self._draw(configuration, options, stages, avoid))
            layer = stages[-1].end
        return Route(model, spec.depth, tuple(each.stage for each in stages))

    def _draw(
        self,
        configuration: Configuration,
        options: Sequence[Placement],
        stages: Sequence[Placement],
        avoid: Avoid,
    ) -> Placement:
        source = stages[-1].instance if stages else ""
        kept = [each for each in options if each.stage.trace in avoid.keep]
        preferred = [each for each in kept or options if not _is_avoided(each, avoid)]
        return self._pick(configuration, preferred or options, source)

    def _pick(
        self, configuration: Configuration, options: Sequence[Placement], source: str
    ) -> Placement:
        weights = self._weights(configuration, options, source)
        drawn = self._random.choices(options, weights, k=CHOICES)
        return min(drawn, key=self._expected_load)

    def _weights(
        self, configuration: Configuration, options: Sequence[Placement], source: str
    ) -> list[float]:
        flows = {
            weight.target: weight.flow
            for weight in configuration.weights.get(options[0].model, ())
            if weight.source == source
        }
        return [max(flows.get(each.instance, 0.0), SMALLEST_WEIGHT) for each in options]

    def _expected_load(self, place: Placement) -> float:
        """Streams per unit of speed: own ones now, or those of the lagged report if more."""
        report = self._membership.report_of(place.instance)
        own = self._in_flight[place.instance]
        if report is None:
            return float(own)
        streams = max(own, report.load.streams)
        return (streams + 1) * (place.end - place.first) / report.load.layer_rate


def _is_avoided(place: Placement, avoid: Avoid) -> bool:
    return place.domain in avoid.domains and place.stage.trace not in avoid.keep


def _completable(places: Sequence[Placement], depth: int) -> list[Placement]:
    """Return the placements from which the last layer can be reached."""
    reachable = {depth}
    kept: list[Placement] = []
    for place in sorted(places, key=lambda each: (-each.first, each.instance)):
        if place.end in reachable:
            reachable.add(place.first)
            kept.append(place)
    return kept
