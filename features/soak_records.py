"""Records of planned work and disturbances for the scenarios of the soak's judges."""

from soak.disturbances import Disturbances, PlannedKind, PlannedWork, Span


def make_disturbances(planned, disturbed):
    disturbances = Disturbances()
    for work in filter(None, planned.split(", ")):
        kind, at = work.split()
        kind, _, entry = kind.partition("-")
        is_change = kind == PlannedKind.CHANGE
        entry = "" if is_change else entry or "e0"
        disturbances.planned.append(PlannedWork(PlannedKind(kind), float(at), entry))
        if kind == PlannedKind.STOP:
            disturbances.absences.append(Span(entry, float(at), float(at) + 9.0))
    name, _, at = disturbed.rpartition(" ")
    if name:
        disturbances.unplanned.append(Span(name, float(at), float(at)))
    return disturbances
