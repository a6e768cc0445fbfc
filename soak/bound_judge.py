"""Checks by the runners' records on how many upstreams each request ran.

A runner counts unless its process has ended or its link was cut between the run and the end of the
call. One that was merely silent counts, and so does one that has left but still runs.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from soak.calls import Call
from soak.disturbances import Span

__all__ = ["BoundJudge", "Run", "find_runs"]

# What the platform allows in one play.
MAX_REQUESTS_OVER_BOUND = 3
# Bytes that a cut link held back arrive this long after its end, at most.
CUT_SLACK_SECONDS = 0.1


@dataclass(frozen=True)
class Run:
    """The begin of a run of a request at an incarnation of a runner, on trio's clock."""

    request_id: str
    instance: str
    born: int
    at: float

    @property
    def incarnation(self) -> tuple[str, int]:
        """The id and the start time of the runner."""
        return self.instance, self.born

    @property
    def runner(self) -> str:
        """The name of the runner, which all its incarnations have."""
        return self.instance.partition(".")[0]


def find_runs(records: Iterable[Mapping], offset: float) -> list[Run]:
    """Return the runs in the records of the runners, each of which received the request.

    Args:
      records: the records, with the times of the monotonic clock.
      offset: the difference from that clock to trio's.
    """
    return [
        Run(each["run"], each["instance"], each["born"], each["time"] + offset)
        for each in records
        if "run" in each
    ]


class BoundJudge:
    """Checks a seed once it has finished; `judged` counts the requests by their upstreams.

    Args:
      calls: all requests of callers.
      runs: all runs of requests.
      ended_at: when the processes of incarnations of runners ended.
      cuts: when the links of runners were cut.
      max_attempts: on how many upstreams a request of each route may run.
    """

    def __init__(
        self,
        calls: Sequence[Call],
        runs: Iterable[Run],
        ended_at: Mapping[tuple[str, int], float],
        cuts: Iterable[Span],
        max_attempts: Mapping[str, int],
    ) -> None:
        self._calls = calls
        self._runs: dict[str, list[Run]] = defaultdict(list)
        for each in runs:
            self._runs[each.request_id].append(each)
        self._ended_at = ended_at
        self._cuts: dict[str, list[Span]] = defaultdict(list)
        for each in cuts:
            self._cuts[each.name].append(each)
        self._max_attempts = max_attempts
        self.judged: Counter[str] = Counter()

    def find_violations(self) -> list[str]:
        """Return the requests that ran on too many upstreams, if they are too many."""
        counts = [(call, self.count(call)) for call in self._calls]
        over = [call for call, count in counts if count > self._max_attempts[call.route]]
        self.judged["requests judged by their upstreams"] = len(counts)
        self.judged["requests over their upstream bound"] = len(over)
        self.judged["requests at their upstream bound"] = sum(
            count == self._max_attempts[call.route] for call, count in counts
        )
        self.judged["requests that ran on several upstreams"] = sum(
            len({each.incarnation for each in self._runs[call.request_id]}) > 1
            for call in self._calls
        )
        return [self._describe(each) for each in over] if self._is_too_many(over) else []

    def describe_over(self) -> list[str]:
        """Return all requests that ran on too many upstreams, as they are reported."""
        return [
            self._describe(each)
            for each in self._calls
            if self.count(each) > self._max_attempts[each.route]
        ]

    def count(self, call: Call) -> int:
        """Return on how many upstreams a request ran that still count when its call has ended."""
        runs = self._runs[call.request_id]
        ended_at = max([_end(call), *(each.at for each in runs)])
        return len({each.incarnation for each in runs if not self._is_lost(each, ended_at)})

    def _is_lost(self, run: Run, until: float) -> bool:
        """Return whether the runner of a run has ended or was cut off between it and a time."""
        return self._ended_at.get(run.incarnation, float("inf")) <= until or any(
            each.overlaps(run.at - CUT_SLACK_SECONDS, until) for each in self._cuts[run.runner]
        )

    @staticmethod
    def _is_too_many(over: Sequence[Call]) -> bool:
        return len(over) > MAX_REQUESTS_OVER_BOUND

    def _describe(self, call: Call) -> str:
        """Return a call as it is reported, with times relative to when it was sent."""
        runs = [
            f"{each.instance} {each.at - call.sent_at:.2f}" for each in self._runs[call.request_id]
        ]
        return (
            f"{call.description} ran on {self.count(call)} upstreams of"
            f" {self._max_attempts[call.route]}: {runs}, {call.ending} after"
            f" {_end(call) - call.sent_at:.2f} s, status {call.status}, sent at {call.sent_at:.2f}"
        )


def _end(call: Call) -> float:
    """Return when a call ended; one that its caller gave up has no time of its own for that."""
    return min(call.ended_at, call.sent_at + call.duration_seconds)
