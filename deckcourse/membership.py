"""What an entry knows of the upstreams: who is there, their load, and who is leaving.

Leaving is the union of three signs: the platform's lagging list, the upstream's own word, and an
operator's retire. It sticks to an incarnation: a late line of the list doesn't bring one back.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from deckcourse.configuration import Configuration, Placement, incarnation_name
from deckcourse.engine import EngineLoad
from deckcourse.instance_list import InstanceKind, ListedInstance

__all__ = ["LoadReport", "Membership"]

# A report older than this says nothing of the upstream's state; it is then not routed to.
REPORT_LIFETIME_SECONDS = 5.0


@dataclass(frozen=True)
class LoadReport:
    """A load report; it stops counting at `deadline` on this process's clock."""

    load: EngineLoad
    deadline: float


class Membership:
    """The upstreams as one process sees them."""

    def __init__(self) -> None:
        self._listed: dict[str, ListedInstance] = {}
        self._reports: dict[str, LoadReport] = {}
        self._leaving: set[str] = set()

    @property
    def leaving(self) -> frozenset[str]:
        """The incarnations (`instance/incarnation`) that get no new work, ever."""
        return frozenset(self._leaving)

    @property
    def reports(self) -> dict[str, LoadReport]:
        """The newest load report of each runner."""
        return dict(self._reports)

    def listed(self, kind: InstanceKind) -> tuple[ListedInstance, ...]:
        """Return the listed instances of one kind, leaving ones included."""
        return tuple(each for each in self._listed.values() if each.kind == kind)

    def services(self, name: str) -> tuple[ListedInstance, ...]:
        """Return the instances that take new calls to the plain service `name`."""
        return tuple(
            each
            for each in self.listed(InstanceKind.SERVICE)
            if each.service == name and not self.is_leaving(each.name, each.incarnation)
        )

    def see_list(self, instances: Iterable[ListedInstance]) -> None:
        """Take in a reading of the platform's list."""
        self._listed = {each.name: each for each in instances}
        for each in self._listed.values():
            if each.leaving:
                self.see_leaving([incarnation_name(each.name, each.incarnation)])

    def see_load(self, load: EngineLoad, now: float) -> None:
        """Take in a load report, own or from a peer; older ones than the known are dropped."""
        known = self._reports.get(load.instance)
        if known is not None and _age_key(load) < _age_key(known.load):
            return
        if known is None or _age_key(load) > _age_key(known.load):
            self._reports[load.instance] = LoadReport(load, now + REPORT_LIFETIME_SECONDS)
        if load.leaving:
            self.see_leaving([incarnation_name(load.instance, load.incarnation)])

    def see_leaving(self, names: Iterable[str]) -> None:
        """Take in incarnations that are leaving; nothing takes them out again."""
        self._leaving.update(names)

    def forget_load(self, instance: str) -> None:
        """Drop a report after a call to the upstream failed; the next report restores it."""
        self._reports.pop(instance, None)

    def report_of(self, instance: str) -> LoadReport | None:
        """Return the newest load report of one runner."""
        return self._reports.get(instance)

    def is_leaving(self, instance: str, incarnation: int) -> bool:
        """Return whether this incarnation gets no new work."""
        return incarnation_name(instance, incarnation) in self._leaving

    def usable(
        self,
        configuration: Configuration,
        model: str,
        now: float,
        keep: frozenset[str] = frozenset(),
    ) -> tuple[Placement, ...]:
        """Return the placements of a model that may be given work now.

        Stages in `keep` (by their trace) already have their part in the request: to go on there
        is no new work, leaving or not, and needs no fresh report.
        """
        return tuple(
            each
            for each in configuration.placed(model)
            if each.stage.trace in keep or self._is_usable(configuration, each, now)
        )

    def _is_usable(self, configuration: Configuration, place: Placement, now: float) -> bool:
        if self.is_leaving(place.instance, place.incarnation):
            return False
        if configuration.is_retired(place.instance, place.incarnation):
            return False
        report = self._reports.get(place.instance)
        if report is None or report.deadline < now:
            return False
        load = report.load
        held = (load.incarnation, load.model, load.first, load.end)
        return held == (place.incarnation, place.model, place.first, place.end)


def _age_key(load: EngineLoad) -> tuple[int, int]:
    return (load.incarnation, load.as_of)
