"""A site of the soak without processes and connections, on a virtual clock: what is done to it."""

import os
import signal
from contextlib import ExitStack
from io import BytesIO
from unittest.mock import patch

import trio
from trio.testing import MockClock

from soak.site import Site

__all__ = ["DrySite", "play_dry"]


class DryProcess:
    """A process that obeys signals at once."""

    def __init__(self) -> None:
        self.pid = os.getpid()
        self.stdin = BytesIO()
        self.returncode: int | None = None
        self.is_stopped = False

    def poll(self) -> int | None:
        return self.returncode

    def wait(self) -> int:
        return self.returncode

    def send_signal(self, number: int) -> None:
        if self.returncode is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.returncode = 0 if number == signal.SIGTERM else -number
        elif number in (signal.SIGSTOP, signal.SIGCONT):
            self.is_stopped = number == signal.SIGSTOP

    def terminate(self) -> None:
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        self.send_signal(signal.SIGKILL)


class DrySite(Site):
    """Starts no processes; tells what was started while it ran, or left as it should not be."""

    def find_misplaced(self):
        processes = {each.spec.instance: each.process for each in self.runners}
        processes |= {each.name: each.process for each in self.entries}
        return [
            *self.violations,
            *(f"{name} was left paused" for name, each in processes.items() if each.is_stopped),
            *(
                f"{name} was left ended"
                for name, each in processes.items()
                if each.poll() is not None
            ),
        ]

    def start_runner(self, runner, has_new_id=False):
        self._check_ended(runner.spec.instance, runner.process)
        runner.process_name = f"{runner.spec.instance}.{runner.start_count}"
        runner.start_count += 1
        runner.process = DryProcess()

    def start_entry(self, entry):
        self._check_ended(entry.name, entry.process)
        entry.start_count += 1
        entry.is_stopping = False
        self.entry_started_at[entry.name].append(trio.current_time())
        entry.process = DryProcess()

    def _check_ended(self, name, process):
        if process is not None and process.poll() is None:
            self.violations.append(f"{name} was started while it ran")


async def _run_nothing(*args, task_status=trio.TASK_STATUS_IGNORED, **options):
    task_status.started()
    await trio.sleep_forever()


async def _connect_to_nothing(*args, **options):
    return None


# What would open connections, and the modules that use it.
CALLING_MODULES = (
    "soak.callers", "soak.early_faults", "soak.trouble",
    "soak.wave_faults",
)  # fmt: skip
SIGNALLING_MODULES = ("soak.faults", "soak.planned_faults")


def _is_running(entry):
    return not entry.is_stopping and entry.process.poll() is None


def play_dry(play, *args):
    """Run an async function on a virtual clock, where no connection can be opened."""
    with ExitStack() as stack:
        for name in CALLING_MODULES:
            stack.enter_context(patch(f"{name}.connect", _connect_to_nothing))
        for name in SIGNALLING_MODULES:
            stack.enter_context(patch(f"{name}.handles_signals", _is_running))
        stack.enter_context(patch("soak.proxy.Proxy.run", _run_nothing))
        stack.enter_context(patch("soak.site.serve", _run_nothing))
        stack.enter_context(patch("soak.early_runner.EarlyRunner.run", _run_nothing))
        stack.enter_context(patch("soak.unending_faults.trio.open_tcp_stream", _refuse))
        stack.enter_context(patch("soak.unending_faults.UnendingFaults._has_started", _is_started))
        stack.enter_context(patch("trio.to_thread.run_sync", _run_here))
        return trio.run(play, *args, clock=MockClock(autojump_threshold=0))


def _is_started(trouble):
    return True


async def _run_here(function, *args):
    """Call what would run in a thread, since the clock doesn't wait for threads."""
    await trio.lowlevel.checkpoint()
    return function(*args)


async def _refuse(*args, **options):
    raise OSError("no connections here")
