"""Plain answers without a length at runners that are full, and runners that restart meanwhile.

While an entry is paused, a plain runner is killed and starts again at its address under a new id,
so that the end of its connections is read only when the next one accepts connections there. Health
queries wait for a slot like requests, or are refused.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

import trio

from soak.callers import Callers
from soak.calls import Call
from soak.interruptions import Interruptions
from soak.site import RunnerProcess, Site
from soak.trouble import SiteTrouble

__all__ = ["PLAIN_SLOTS", "AnswerEndFaults"]

# The slots of a plain runner; there are two of these runners.
PLAIN_SLOTS = 4
CALLER_COUNT = 24
PLAIN_ROUTES = ("once", "again")
# The halves of an answer are at most so far apart.
MAX_HALF_PAUSE_SECONDS = 0.3
# The time between two restarts, the time from the pause of the entry to the kill, and the times for
# which the runner is down and the entry goes on being paused.
MIN_INTERVAL_SECONDS = 1.0
MAX_INTERVAL_SECONDS = 2.5
MAX_LEAD_SECONDS = 0.2
MIN_DOWN_SECONDS = 0.1
MAX_DOWN_SECONDS = 0.5
# A runner accepts connections within this time after its start on a machine that has room.
START_SECONDS = 1.2
OK = 200


@dataclass(frozen=True)
class _Span:
    """A disruption of a process from `began_at` to `ended_at`, on trio's clock."""

    name: str
    began_at: float
    ended_at: float


@dataclass
class AnswerEndFaults(SiteTrouble):
    """Restarts plain runners under load, and checks their answers.

    Args:
      site: the site whose plain runners send answers without a length.
      callers: knows the keys and which entries are ready.
      random: chooses the times, the entries and the runners.
      log_fault: called with a description of each fault.
      interruptions: where pauses and restarts are recorded.
    """

    site: Site
    callers: Callers
    random: Random
    log_fault: Callable[[str], None]
    interruptions: Interruptions
    _spans: list[_Span] = field(default_factory=list)
    _restarts: int = 0

    async def run(self, until: float) -> None:
        """Restart runners until a time on trio's clock; return once the last one is back."""
        load = Callers(
            self.callers.entries,
            self.random,
            self.callers.ready_entries,
            self.callers.keys,
            self.callers.calls,
            routes=PLAIN_ROUTES,
            name_prefix="p",
        )
        for each in self._plain_runners:
            self._order_halves(each)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, CALLER_COUNT)
            while trio.current_time() < until:
                await trio.sleep(self.random.uniform(MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS))
                await self._restart_during_pause()
            load.stop()
        self.callers.violations += load.violations

    @property
    def _plain_runners(self) -> list[RunnerProcess]:
        return [each for each in self.site.runners if not each.spec.layers]

    def _order_halves(self, runner: RunnerProcess) -> None:
        self.site.send_order(runner, halves=MAX_HALF_PAUSE_SECONDS)

    async def _restart_during_pause(self) -> None:
        entry = self.random.choice(self.site.entries)
        runner = self.random.choice(self._plain_runners)
        lead = self.random.uniform(0.0, MAX_LEAD_SECONDS)
        down = self.random.uniform(MIN_DOWN_SECONDS, MAX_DOWN_SECONDS)
        self.log_fault(f"{entry.name} paused, {runner.spec.instance} killed for {down:.2f} s")
        began_at = trio.current_time()
        process = runner.process
        with self.site.pauses.hold([entry.process]):
            await trio.sleep(lead)
            process.kill()
            await trio.sleep(down)
            # Another fault may have restarted it in the meantime.
            if runner.process is process:
                self.site.start_runner(runner, has_new_id=True)
            self._order_halves(runner)
            await trio.sleep(START_SECONDS)
        self._restarts += 1
        now = trio.current_time()
        self._spans += [
            _Span(entry.name, began_at, now),
            _Span(runner.spec.instance, began_at, now),
        ]
        self.interruptions.record_reset(runner.spec.instance)
        for name in (entry.name, runner.spec.instance):
            self.site.disturbances.record(name, since=began_at)
        self.interruptions.spans.append((entry.name, began_at, now))

    def find_violations(self, calls: Sequence[Call]) -> list[str]:
        """Return the answers of sound runners that were not delivered, and queries at full ones."""
        if not self._restarts:
            return []
        return self._find_undelivered(calls) + self._find_queries()

    def _find_undelivered(self, calls: Sequence[Call]) -> list[str]:
        """Return the calls that ran only where nothing was disrupted and were not served."""
        names = {each.caller_proxy.address: each.name for each in self.site.entries}
        runs: dict[str, list[str]] = {}
        for each in self.site.records:
            if "run" in each:
                runs.setdefault(each["run"], []).append(each["instance"].partition(".")[0])
        violations = []
        for call in calls:
            if call.route not in PLAIN_ROUTES or call.request_id not in runs:
                continue
            processes = {*runs[call.request_id], names.get(call.entry, "")}
            if call.has_disconnected or self._is_disrupted(processes, call):
                continue
            self.site.judged["plain calls that ran undisturbed"] += 1
            if call.status != OK or not call.is_complete:
                violations.append(
                    f"{call.description} ran at {runs[call.request_id]}, which were sound,"
                    f" and got {call.status}"
                )
        return violations

    def _is_disrupted(self, processes: set[str], call: Call) -> bool:
        ended_at = call.sent_at + call.duration_seconds
        return any(
            each.name in processes and each.began_at < ended_at and each.ended_at > call.sent_at
            for each in self._spans
        )

    def _find_queries(self) -> list[str]:
        """Return a violation if more queries met a full runner than its restarts explain.

        Each entry may query a runner once after each start of it: then it has no other connection
        there. Beside that, a query is an extra load on a runner that is full.
        """
        queries = sum(bool(each.get("full")) for each in self.site.records if "health" in each)
        runs = sum("run" in each for each in self.site.records)
        self.site.judged["health queries at full runners"] += queries
        allowed = len(self.site.entries) * (self._restarts + len(self._plain_runners))
        if queries <= allowed:
            return []
        return [f"{queries} health queries met full runners, {allowed} are allowed; {runs} runs"]
