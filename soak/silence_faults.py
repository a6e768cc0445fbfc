"""Open connections that go silent for good, while new ones work, and runners that leave meanwhile.

Runners leave without a word: their rows go, and they serve on for some seconds. Machines count as
out of touch for some time after a silence, as after a reset of their connections.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from soak.calls import Call
from soak.contact import CONTACT_SECONDS
from soak.site import RunnerProcess
from soak.trouble import SiteTrouble

__all__ = ["SilenceFaults"]

# What the platform allows: requests don't reach a runner that are sent later than this after the
# store has taken that it is gone, and later than the contact time after the latest silence.
DRAIN_SECONDS = 2.0
# From a silence to the removal of the row, at most, and from that to the end of the runner.
MAX_LEAVE_DELAY_SECONDS = 0.4
MIN_SERVES_ON_SECONDS = 5.0
MAX_SERVES_ON_SECONDS = 6.5
MIN_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 1.5
LIST_READ = b"table=servers"


@dataclass
class _Leave:
    """A runner that leaves while connections are silent; times are on trio's clock."""

    instance: str
    silent_at: float
    ended_at: float = float("inf")


@dataclass
class SilenceFaults(SiteTrouble):
    """Silences connections, lets runners leave, and checks which requests reach these."""

    # What the judged leaves are counted as.
    judged_leaves = "leaves beside silent connections"
    _leaves: list[_Leave] = field(default_factory=list)

    async def run(self, until: float) -> None:
        """Silence connections until a time on trio's clock; return once all runners are back."""
        self.site.store.keeps_unchanged = True
        await self.repeat(until, self._silence_and_leave, MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)

    async def _silence_and_leave(self) -> None:
        runner = self.random.choice(self.site.runners)
        choice = self.random.choice((self._silence_list, self._silence_entry, self._silence_all))
        what = choice()
        # The silence counts as a reset of the connections of all machines.
        for each in self.site.entries:
            self.site.disturbances.record(each.name)
        self.log_fault(f"{what} silent for good")
        await self.let_leave(runner, trio.current_time())

    async def let_leave(self, runner: RunnerProcess, silent_at: float) -> None:
        """Let a runner leave without a word and serve on for some time, and start it again.

        Args:
          runner: the runner.
          silent_at: when connections of all machines went silent, on trio's clock.
        """
        leave = _Leave(runner.process_name, silent_at)
        self.log_fault(f"{leave.instance} leaves without a word")
        self._leaves.append(leave)
        await trio.sleep(self.random.uniform(0.0, MAX_LEAVE_DELAY_SECONDS))
        self.site.send_order(runner, unlisted=True)
        process = runner.process
        await trio.sleep(self.random.uniform(MIN_SERVES_ON_SECONDS, MAX_SERVES_ON_SECONDS))
        leave.ended_at = trio.current_time()
        self._restart(runner, process)

    def _restart(self, runner: RunnerProcess, process: object) -> None:
        """Start a runner again under a new id, unless another fault has done so."""
        if runner.process is not process or runner.process.poll() is not None:
            return
        self.interruptions.record_reset(runner.spec.instance)
        self.site.disturbances.record(runner.spec.instance)
        runner.process.kill()
        self.site.start_runner(runner, has_new_id=True)

    def _silence_list(self) -> str:
        """Silence the connection on which an entry reads the list of runners."""
        entry = self.random.choice(self.site.entries)
        count = entry.store.silence_open(lambda request: LIST_READ in request)
        return f"{count} reads of the list by {entry.name}"

    def _silence_entry(self) -> str:
        """Silence all connections of an entry to the store."""
        entry = self.random.choice(self.site.entries)
        count = entry.store.silence_open(lambda request: True)
        return f"all {count} connections of {entry.name} to the store"

    def _silence_all(self) -> str:
        """Silence all connections to the store and to the runners."""
        count = sum(each.store.silence_open(lambda request: True) for each in self.site.entries)
        for each in self.site.runners:
            self.interruptions.record(each.spec.instance, CONTACT_SECONDS)
            self.site.disturbances.record_cut(each.spec.instance, CONTACT_SECONDS)
            count += each.proxy.silence_open(lambda request: True)
        return f"all {count} connections to the store and to runners"

    def find_violations(self, calls: Sequence[Call]) -> list[str]:
        """Return the requests that reached a runner long after it had left."""
        sent_at = {each.request_id: each for each in calls}
        removed_at = {
            each["unlisted"]: each["at"] for each in self.site.records if "unlisted" in each
        }
        names = self.site.entry_names
        violations = []
        for leave in self._leaves:
            if leave.instance not in removed_at:
                continue
            self.site.judged[self.judged_leaves] += 1
            judged_from = max(
                leave.silent_at + CONTACT_SECONDS, removed_at[leave.instance] + DRAIN_SECONDS
            )
            late = [
                sent_at[each["arrived"]]
                for each in self.site.records
                if "arrived" in each
                and each["instance"] == leave.instance
                and each["arrived"] in sent_at
                and judged_from <= sent_at[each["arrived"]].sent_at
                and each["at"] <= leave.ended_at
            ]
            in_touch = [each for each in late if self._is_in_touch(names.get(each.entry, ""), each)]
            if in_touch:
                violations.append(
                    f"{len(in_touch)} requests reached {leave.instance} up to"
                    f" {max(each.sent_at for each in in_touch) - removed_at[leave.instance]:.1f} s"
                    f" after it had left: {in_touch[0].description}"
                )
        return violations

    def _is_in_touch(self, entry: str, call: Call) -> bool:
        """Return whether an entry was disrupted neither then nor in the time before."""
        since = call.sent_at - CONTACT_SECONDS
        return not self.interruptions.overlaps(entry, since, call.sent_at + call.duration_seconds)
