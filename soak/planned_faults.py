"""Planned work in series, beside runners that are silent: changes, SIGTERM and SIGHUP overlap.

None of it is a fault: no request may be lost by it, and silence is no reason to end an answer.
"""

import signal
from dataclasses import dataclass, field

import trio

from soak.configuration import MIN_TIMEOUT_SECONDS
from soak.disturbances import PlannedKind
from soak.entry_restart import restart_entry
from soak.signal_handlers import handles_signals
from soak.site import Entry, RunnerProcess
from soak.trouble import SiteTrouble

__all__ = ["PlannedFaults"]

# Callers that keep to the entry of an open connection.
CALLER_COUNT = 8
# The time between two works of each kind; stops and changes overlap.
MIN_CHANGE_INTERVAL_SECONDS = 0.1
MAX_CHANGE_INTERVAL_SECONDS = 1.0
MIN_SIGNAL_INTERVAL_SECONDS = 0.3
MAX_SIGNAL_INTERVAL_SECONDS = 1.5
STOP_SHARE = 0.5
# How long a runner is silent, and the time between two silences of any.
MIN_SILENCE_SECONDS = 0.6
MAX_SILENCE_SECONDS = 1.5
MIN_SILENCE_INTERVAL_SECONDS = 0.3
MAX_SILENCE_INTERVAL_SECONDS = 1.2
MAX_SILENT_RUNNERS = 2
# What changes may set.
MAX_TIMEOUT_SECONDS = 9.0
MIN_IDLE_SECONDS = 5.0
MAX_IDLE_SECONDS = 15.0
MAX_EXTRA_ACCOUNTS = 20
MAX_EXTRA_ROUTES = 400


@dataclass
class PlannedFaults(SiteTrouble):
    """Does planned work at a site, and silences runners meanwhile.

    With `has_changes` it changes the desired state, besides its other work.
    """

    has_changes: bool = True
    _silent: set[str] = field(default_factory=set)

    async def run(self, until: float) -> None:
        """Work until a time on trio's clock; return once all entries and runners are back."""
        async with (
            self.further_callers(CALLER_COUNT, name_prefix="k", switch_share=0.0),
            trio.open_nursery() as nursery,
        ):
            if self.has_changes:
                nursery.start_soon(
                    self.repeat,
                    until,
                    self._change,
                    MIN_CHANGE_INTERVAL_SECONDS,
                    MAX_CHANGE_INTERVAL_SECONDS,
                )
            nursery.start_soon(self._signal_repeatedly, until)
            nursery.start_soon(self._silence_repeatedly, until)

    async def _change(self) -> None:
        name, value = self._draw_change()
        version = self.site.configuration.version + 1
        self.log_fault(f"desired state {version}: {name} {value}")
        self.site.configure(version=version, **{name: value})

    def _draw_change(self) -> tuple[str, object]:
        random = self.random
        return random.choice(
            (
                ("second_share", round(random.random(), 2)),
                ("timeout_seconds", random.uniform(MIN_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS)),
                ("idle_timeout_seconds", random.uniform(MIN_IDLE_SECONDS, MAX_IDLE_SECONDS)),
                ("extra_accounts", random.randint(0, MAX_EXTRA_ACCOUNTS)),
                ("extra_routes", random.randint(0, MAX_EXTRA_ROUTES)),
            )
        )

    async def _signal_repeatedly(self, until: float) -> None:
        """Stop or reload one entry after the other; a stop may begin during the one before."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                running = [each for each in self.site.entries if handles_signals(each)]
                if len(running) > 1 and self.random.random() < STOP_SHARE:
                    nursery.start_soon(self._stop, self.random.choice(running))
                elif running:
                    self._reload(self.random.choice(running))
                await trio.sleep(
                    self.random.uniform(MIN_SIGNAL_INTERVAL_SECONDS, MAX_SIGNAL_INTERVAL_SECONDS)
                )

    def _reload(self, entry: Entry) -> None:
        self.log_fault(f"entry {entry.name}: reload")
        self.site.disturbances.plan(PlannedKind.RELOAD, entry.name)
        entry.process.send_signal(signal.SIGHUP)

    async def _stop(self, entry: Entry) -> None:
        self.log_fault(f"entry {entry.name}: stop")
        await restart_entry(self.site, entry, signal.SIGTERM, self.interruptions)
        self.log_fault(f"entry {entry.name}: start")

    async def _silence_repeatedly(self, until: float) -> None:
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                runner = self.random.choice(self.site.runners)
                seconds = self.random.uniform(MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS)
                if len(self._silent) < MAX_SILENT_RUNNERS and not self.site.pauses.is_paused(
                    runner.process
                ):
                    nursery.start_soon(self._silence, runner, seconds)
                await trio.sleep(
                    self.random.uniform(MIN_SILENCE_INTERVAL_SECONDS, MAX_SILENCE_INTERVAL_SECONDS)
                )

    async def _silence(self, runner: RunnerProcess, seconds: float) -> None:
        name = runner.spec.instance
        self.log_fault(f"runner {name} silent for {seconds:.1f} s")
        self.interruptions.record(name, seconds)
        self._silent.add(name)
        with self.site.pauses.hold([runner.process]):
            await trio.sleep(seconds)
        self._silent.discard(name)
