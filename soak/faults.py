"""Random faults from outside: signals, proxies, the store and configuration changes."""

import signal
import subprocess
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import trio

from soak.disturbances import STORE, PlannedKind
from soak.entry_restart import restart_entry
from soak.odd_answers import AnswerFault
from soak.proxy import Mode, Proxy
from soak.signal_handlers import handles_signals
from soak.site import Entry, RunnerProcess
from soak.trouble import SiteTrouble

__all__ = ["FAULT_KINDS", "Faults"]

# Faults are drawn from these with equal weight; a kind that is listed twice is drawn twice as
# often.
FAULT_KINDS = (
    "runner", "runner", "runner", "entry", "entry", "runner_link", "runner_link", "store_link",
    "front_link", "store_refuses", "change", "still", "still", "aimed", "aimed", "odd", "odd",
    "series",
)  # fmt: skip

# The time between two faults. Many last longer, so that they overlap.
MIN_FAULT_INTERVAL_SECONDS = 0.2
MAX_FAULT_INTERVAL_SECONDS = 1.2
# The interval in which an entry that has just been started is asked whether it handles signals.
SIGNAL_POLL_SECONDS = 0.02
# How long a runner holds its output back before it sends all of it at once. The two control queries
# whose timeouts make the gateway move its streams end within that time.
MIN_HOLD_SECONDS = 0.1
MAX_HOLD_SECONDS = 0.6
# The longest time for which a runner holds its output back until these queries time out.
MAX_AIMED_HOLD_SECONDS = 1.0
# How long a share of a runner's answers is faulty.
MIN_ANSWER_FAULT_SECONDS = 0.3
MAX_ANSWER_FAULT_SECONDS = 2.0
# A restart of all entries begins only if this much of the time for faults is left.
MIN_SERIES_SECONDS = 6.0
SERIES_INTERVAL_SECONDS = 1.0
# Each domain of four runners can heal one that is lost.
MAX_AFFECTED_RUNNERS = 2


@dataclass
class Faults(SiteTrouble):
    """Injects random faults into a site; several faults may overlap.

    They are of the kinds `only`, or of all if it is empty.
    """

    only: Sequence[str] = ()
    _affected: set[str] = field(default_factory=set)
    _endless_answer_runners: set[str] = field(default_factory=set)
    _ends_at: float = 0.0

    async def run(self, until: float) -> None:
        """Inject faults until a time on trio's clock; return once all of them have ended."""
        self._ends_at = until
        methods = [self._fault_method(name) for name in self.only or FAULT_KINDS]
        await self.start_repeatedly(
            until,
            lambda: self.random.choice(methods),
            MIN_FAULT_INTERVAL_SECONDS,
            MAX_FAULT_INTERVAL_SECONDS,
        )

    def _fault_method(self, name: str) -> Callable[[], Awaitable[None]]:
        return getattr(self, f"_{name}")

    def _choose_unaffected(self, names: list[str], max_affected: int) -> str | None:
        """Choose a name without a fault, or None if `max_affected` of them have one already."""
        if len(self._affected & set(names)) >= max_affected:
            return None
        return self.random.choice([each for each in names if each not in self._affected])

    async def _runner(self) -> None:
        by_name = {each.spec.instance: each for each in self.site.runners}
        name = self._choose_unaffected(list(by_name), MAX_AFFECTED_RUNNERS)
        if name is not None:
            self._affected.add(name)
            await self._disrupt_runner(by_name[name])
            self._affected.discard(name)

    async def _disrupt_runner(self, runner: RunnerProcess) -> None:
        seconds = self.random.uniform(0.3, 2.0)
        if self.random.random() < 0.5:
            self.log_fault(f"runner {runner.spec.instance} killed for {seconds:.1f} s")
            if runner.spec.instance in self._endless_answer_runners:
                # A close of its connections would complete the answers that have no length.
                runner.proxy.reset()
            self.interruptions.record_reset(runner.spec.instance)
            self.site.disturbances.record(runner.spec.instance, seconds)
            killed_process = runner.process
            killed_process.kill()
            await trio.sleep(seconds)
            if runner.process is killed_process:
                self.site.start_runner(runner)
        else:
            self.log_fault(f"runner {runner.spec.instance} paused for {seconds:.1f} s")
            self.interruptions.record(runner.spec.instance, seconds)
            await self._pause(runner.process, seconds)

    async def _pause(self, process: subprocess.Popen, seconds: float) -> None:
        with self.site.pauses.hold([process]):
            await trio.sleep(seconds)

    async def _still(self) -> None:
        runner = self.random.choice(self.site.runners)
        seconds = self.random.uniform(MIN_HOLD_SECONDS, MAX_HOLD_SECONDS)
        self.log_fault(f"runner {runner.spec.instance} holds its output for {seconds:.3f} s")
        self.interruptions.record(runner.spec.instance, seconds)
        self.site.send_order(runner, still=seconds)
        await trio.sleep(seconds)

    async def _aimed(self) -> None:
        runner = self.random.choice([each for each in self.site.runners if each.spec.layers])
        self.log_fault(
            f"runner {runner.spec.instance} holds its output until its streams are moved"
        )
        self.interruptions.record(runner.spec.instance, MAX_AIMED_HOLD_SECONDS)
        self.site.send_order(runner, aimed=MAX_AIMED_HOLD_SECONDS)
        await trio.sleep(MAX_AIMED_HOLD_SECONDS)

    async def _odd(self) -> None:
        runner = self.random.choice(self.site.runners)
        kind = self.random.choice(list(AnswerFault))
        seconds = self.random.uniform(MIN_ANSWER_FAULT_SECONDS, MAX_ANSWER_FAULT_SECONDS)
        self.log_fault(
            f"runner {runner.spec.instance} sends faulty answers for {seconds:.1f} s: {kind}"
        )
        self.site.disturbances.record(runner.spec.instance, seconds)
        self.site.send_order(runner, odd=kind, seconds=seconds)
        if kind in (AnswerFault.ENDLESS, AnswerFault.ENDLESS_RESET):
            self._endless_answer_runners.add(runner.spec.instance)

    async def _series(self) -> None:
        """Restart all entries, one after the other."""
        names = {each.name for each in self.site.entries}
        if self._affected & names or trio.current_time() + MIN_SERIES_SECONDS > self._ends_at:
            return
        self._affected |= names
        for entry in self.site.entries:
            await self._disrupt_entry(entry, self.random.choice(("kill", "stop")))
            await trio.sleep(SERIES_INTERVAL_SECONDS)
        self._affected -= names

    async def _entry(self) -> None:
        by_name = {each.name: each for each in self.site.entries}
        name = self._choose_unaffected(list(by_name), 1)
        if name is not None:
            self._affected.add(name)
            action = self.random.choice(("kill", "stop", "pause", "reload"))
            await self._disrupt_entry(by_name[name], action)
            self._affected.discard(name)

    async def _disrupt_entry(self, entry: Entry, action: str) -> None:
        self.log_fault(f"entry {entry.name}: {action}")
        if action == "pause":
            seconds = self.random.uniform(0.2, 1.5)
            self.interruptions.record(entry.name, seconds)
            self.site.disturbances.record(entry.name, seconds)
            await self._pause(entry.process, seconds)
        elif action == "reload":
            while not handles_signals(entry):
                if entry.is_stopping:  # It has ended by itself, which is reported.
                    return
                await trio.sleep(SIGNAL_POLL_SECONDS)
            self.site.disturbances.plan(PlannedKind.RELOAD, entry.name)
            entry.process.send_signal(signal.SIGHUP)
        elif action == "kill":
            await restart_entry(self.site, entry, signal.SIGKILL, self.interruptions)
        # An operator doesn't stop what is being stopped.
        elif not entry.is_stopping:
            await restart_entry(self.site, entry, signal.SIGTERM, self.interruptions)

    async def _disrupt_link(self, proxy: Proxy, name: str, max_seconds: float) -> None:
        mode = self.random.choice((Mode.DELAY, Mode.SILENT, Mode.ONE_WAY, None))
        seconds = self.random.uniform(0.2, max_seconds)
        self.log_fault(f"link {name}: {mode or 'reset'} for {seconds:.1f} s")
        if mode is None:
            self.interruptions.record_reset(name)
            self.site.disturbances.record(name)
            self.site.disturbances.record_cut(name)
            proxy.reset()
            return
        self.interruptions.record(name, seconds)
        self.site.disturbances.record(name, seconds)
        if mode is not Mode.DELAY:
            self.site.disturbances.record_cut(name, seconds)
        proxy.set_mode(mode, self.random.uniform(0.02, 0.2))
        await trio.sleep(seconds)
        proxy.set_mode(Mode.PASS)

    async def _runner_link(self) -> None:
        runner = self.random.choice(self.site.runners)
        await self._disrupt_link(runner.proxy, runner.spec.instance, 1.5)

    async def _store_link(self) -> None:
        entry = self.random.choice(self.site.entries)
        await self._disrupt_link(entry.store, f"{entry.name} to store", 4.0)

    async def _front_link(self) -> None:
        entry = self.random.choice(self.site.entries)
        await self._disrupt_link(entry.caller_proxy, f"callers to {entry.name}", 0.5)

    async def _store_refuses(self) -> None:
        seconds = self.random.uniform(0.3, 2.0)
        self.log_fault(f"store unavailable for {seconds:.1f} s")
        self.site.disturbances.record(STORE, seconds)
        self.site.store.refuses = True
        await trio.sleep(seconds)
        self.site.store.refuses = False

    async def _change(self) -> None:
        """Write a new desired state; half of them revoke a key and issue a new one."""
        version = self.site.configuration.version + self.random.randint(1, 3)
        keys = [each for each in self.callers.keys if each not in self.callers.revoked]
        if self.random.random() < 0.5:
            revoked_key = self.random.choice(keys)
            new_key = f"key-{version}"
            keys = [each for each in keys if each != revoked_key] + [new_key]
            self.callers.revoked[revoked_key] = trio.current_time()
            self.callers.keys.append(new_key)
            self.log_fault(f"key {revoked_key} revoked, {new_key} issued")
        self.log_fault(f"desired state {version}")
        self.site.configure(version=version, keys=tuple(keys))
