"""Stops processes for a time; a process that several hold goes on once none of them holds it."""

import signal
import subprocess
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

__all__ = ["Pauses"]


class Pauses:
    """The pauses of all processes of a site."""

    def __init__(self) -> None:
        self._holders: Counter[subprocess.Popen] = Counter()

    def is_paused(self, process: subprocess.Popen) -> bool:
        """Return whether somebody holds a process."""
        return self._holders[process] > 0

    @contextmanager
    def hold(self, processes: Iterable[subprocess.Popen]) -> Iterator[None]:
        """Hold processes; those that have ended get no signal."""
        held = list(processes)
        for each in held:
            self._holders[each] += 1
            each.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            for each in held:
                self._holders[each] -= 1
                if not self._holders[each]:
                    each.send_signal(signal.SIGCONT)
