"""Ends an entry by a signal and starts it again, whatever else ends it meanwhile."""

import signal

import trio

from soak.disturbances import PlannedKind
from soak.interruptions import Interruptions
from soak.site import Entry, Site

__all__ = ["restart_entry"]

# The time between the exit of an entry and its restart.
RESTART_DELAY_SECONDS = 0.4


async def restart_entry(
    site: Site, entry: Entry, number: signal.Signals, interruptions: Interruptions
) -> None:
    """End an entry by SIGTERM, which is planned work, or SIGKILL, and start it again.

    Two kinds of trouble may end the same process; the one that waits less starts it again.
    """
    entry.is_stopping = True
    ended_at = trio.current_time()
    process = entry.process
    is_planned = number == signal.SIGTERM
    if is_planned:
        site.disturbances.plan(PlannedKind.STOP, entry.name)
    else:
        entry.killed = process
    process.send_signal(number)
    await trio.to_thread.run_sync(process.wait)
    if is_planned and process.returncode != 0 and entry.killed is not process:
        site.violations.append(f"{entry.name}: exit {process.returncode}")
    await trio.sleep(RESTART_DELAY_SECONDS)
    if entry.process is process:
        site.start_entry(entry)
    interruptions.spans.append((entry.name, ended_at, trio.current_time()))
    if is_planned:
        site.disturbances.record_absence(entry.name, ended_at)
    else:
        site.disturbances.record(entry.name, since=ended_at)
