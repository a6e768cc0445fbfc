"""Checks that no entry goes back to an older desired state within one life of its process.

A run, or a refusal of a key or a route, shows which states its entry may follow. Once a runner has
run a request as only some state or a later one allows, requests sent to this entry a moment later
must not be handled as only older ones allow.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from soak.calls import Call
from soak.desired_history import DesiredHistory, DesiredState

__all__ = ["DowngradeJudge", "ServiceRun"]

# What the platform allows: the time from the run, and how many times that on a slowed machine.
DOWNGRADE_SECONDS = 0.25
SLOWED_FACTOR = 8
UNKNOWN_KEY_STATUS = 401
UNKNOWN_ROUTE_STATUS = 404


@dataclass(frozen=True)
class ServiceRun:
    """The begin of a run of a request at a service, on trio's clock."""

    request_id: str
    service: str
    at: float


@dataclass(frozen=True)
class _Handling:
    """How an entry handled a request; `states` are the numbers of the states that allow it.

    `seen_at` is when a runner saw it, infinite if none did.
    """

    call: Call
    how: str
    states: Sequence[int]
    seen_at: float


class DowngradeJudge:
    """Checks the calls of a seed once it has finished.

    Args:
      calls: all requests of callers.
      entries: the name of each entry by its address.
      history: the desired states of the site.
      started_at: when each entry was started, by its name.
      is_slowed: whether an entry had only a part of a processor, given its name, begin and end.
    """

    def __init__(
        self,
        calls: Iterable[Call],
        entries: Mapping[str, str],
        history: DesiredHistory,
        started_at: Mapping[str, Sequence[float]],
        is_slowed: Callable[[str, float, float], bool],
    ) -> None:
        self._calls = [each for each in calls if each.entry in entries]
        self._entries = entries
        self._history = history
        self._started_at = started_at
        self._is_slowed = is_slowed
        self.judged = 0

    def find_violations(self, runs: Iterable[ServiceRun]) -> list[str]:
        """Return the requests that were handled as only an older state allows."""
        by_request: dict[str, list[ServiceRun]] = defaultdict(list)
        for each in runs:
            by_request[each.request_id].append(each)
        by_life: dict[tuple[str, int], list[_Handling]] = defaultdict(list)
        for call in self._calls:
            name = self._entries[call.entry]
            begun, ended = (
                bisect_right(self._started_at.get(name, ()), at)
                for at in (call.sent_at, call.sent_at + call.duration_seconds)
            )
            if begun == ended:  # Otherwise it is unknown which life handled it.
                by_life[name, begun] += self._handlings(call, by_request[call.request_id])
        return [
            found
            for (name, _), handlings in by_life.items()
            for found in self._find_older(name, handlings)
        ]

    def _handlings(self, call: Call, runs: Collection[ServiceRun]) -> list[_Handling]:
        """Return what showed the state that an entry followed; states that allow nothing don't."""
        found = [
            _Handling(call, f"run at {each.service}", self._states(call, each.service), each.at)
            for each in runs
        ]
        if call.status in (UNKNOWN_KEY_STATUS, UNKNOWN_ROUTE_STATUS) and not runs:
            is_key = call.status == UNKNOWN_KEY_STATUS
            states = self._numbers(
                lambda state: not (
                    state.account_of(call.key) if is_key else state.services_of(call.path)
                ),
                call,
            )
            found.append(_Handling(call, f"refused with {call.status}", states, float("inf")))
        return [each for each in found if each.states]

    def _states(self, call: Call, service: str) -> list[int]:
        return self._numbers(
            lambda state: state.account_of(call.key) and service in state.services_of(call.path),
            call,
        )

    def _numbers(self, allows: Callable[[DesiredState], object], call: Call) -> list[int]:
        """Return the numbers of the states until the end of a call that allow its handling."""
        states = self._history.until(call.sent_at + call.duration_seconds)
        return [number for number, state in enumerate(states) if allows(state)]

    def _find_older(self, entry: str, handlings: Iterable[_Handling]) -> list[str]:
        handlings = list(handlings)
        seen = sorted(
            (each.seen_at, each.states[0]) for each in handlings if each.seen_at < float("inf")
        )
        # The newest state that any run until each time needs.
        newest: list[int] = []
        for _, first in seen:
            newest.append(max(first, newest[-1] if newest else 0))
        times = [at for at, _ in seen]
        violations = []
        for each in handlings:
            sent_at = each.call.sent_at
            is_slowed = self._is_slowed(entry, sent_at - SLOWED_FACTOR * DOWNGRADE_SECONDS, sent_at)
            seconds = DOWNGRADE_SECONDS * (SLOWED_FACTOR if is_slowed else 1)
            count = bisect_right(times, sent_at - seconds)
            if not count or not newest[count - 1]:
                continue
            self.judged += 1
            if each.states[-1] < newest[count - 1]:
                violations.append(
                    f"{each.call.description}: {each.how}, as state number {each.states[-1]}"
                    f" allows last, sent at {sent_at:.2f} after {entry} had followed number"
                    f" {newest[count - 1]}"
                )
        return violations
