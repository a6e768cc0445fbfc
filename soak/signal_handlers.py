"""Tells whether an entry handles signals already: until its interpreter has started, it can't."""

import re
import signal
from pathlib import Path

from soak.site import Entry

__all__ = ["handles_signals"]

# The mask of the signals that a process handles, as the kernel tells it.
CAUGHT_SIGNALS = re.compile(r"^SigCgt:\s*([0-9a-f]+)$", re.MULTILINE)


def handles_signals(entry: Entry) -> bool:
    """Return whether an entry runs and handles SIGTERM; it ignores SIGHUP from before that on."""
    if entry.is_stopping or entry.process.poll() is not None:
        return False
    status = Path(f"/proc/{entry.process.pid}/status").read_text(encoding="ascii")
    caught = int(CAUGHT_SIGNALS.search(status)[1], base=16)
    return bool(caught >> (signal.SIGTERM - 1) & 1)
