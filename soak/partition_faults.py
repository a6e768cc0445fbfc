"""Partitions some entries from runners, and checks that their callers are served all the same.

An entry's connections to a runner pass the runner's proxy like those of the others. They are told
apart by the process that holds the other end.
"""

import os
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import trio

from soak.calls import Call
from soak.contact import CONTACT_SECONDS
from soak.proxy import Cut, Partition
from soak.site import Entry
from soak.trouble import SiteTrouble

__all__ = ["PartitionFaults"]

# The duration of a partition, and the time between two of them.
MIN_PARTITION_SECONDS = 4.5
MAX_PARTITION_SECONDS = 7.0
MIN_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 2.0
# What the platform allows: from the contact time after the start of a partition, first attempts at
# its entries are served at least this share as often as at the others, or fail at most this often.
MIN_SERVED_RATIO = 2 / 3
MAX_FAILURES = 10
MAX_FAILED_SHARE = 1 / 50
# The share of partitions from the upstreams of one service only.
ONE_SERVICE_SHARE = 0.3


@dataclass
class PartitionFaults(SiteTrouble):
    """Partitions entries, one partition after the other, and checks the result."""

    # The names of the entries of each partition, its begin and its end.
    _spans: list[tuple[frozenset[str], float, float]] = field(default_factory=list)

    async def run(self, until: float) -> None:
        """Partition entries until a time on trio's clock; return once the last one has ended."""
        await self.repeat(until, self._partition, MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)

    async def _partition(self) -> None:
        entries = self.random.sample(
            self.site.entries, self.random.randint(1, len(self.site.entries) - 1)
        )
        how = self.random.choice(list(Cut))
        service = ""
        if self.random.random() < ONE_SERVICE_SHARE:
            service = self.random.choice(("llm", "crm"))
        seconds = self.random.uniform(MIN_PARTITION_SECONDS, MAX_PARTITION_SECONDS)
        names = frozenset(each.name for each in entries)
        target = f"{service or 'all'} runners"
        self.log_fault(f"{sorted(names)} partitioned from {target} for {seconds:.1f} s: {how}")
        began_at = trio.current_time()
        runners = [each for each in self.site.runners if service in ("", each.spec.service)]
        for each in runners:
            self.interruptions.record(each.spec.instance, seconds)
            self.site.disturbances.record(each.spec.instance, seconds)
            self.site.disturbances.record_cut(each.spec.instance, seconds)
            each.proxy.begin_partition(Partition(how, lambda port: _is_held(entries, port)))
        await trio.sleep(seconds)
        for each in runners:
            each.proxy.end_partition()
        self._spans.append((names, began_at, trio.current_time()))

    def find_violations(self, calls: Sequence[Call]) -> list[str]:
        """Return the partitions whose callers were served too seldom."""
        names = self.site.entry_names
        violations = []
        for partitioned, began_at, ended_at in self._spans:
            judged = [
                each
                for each in calls
                if began_at + CONTACT_SECONDS <= each.sent_at < ended_at
                and not each.has_disconnected
                and each.entry in names
            ]
            inside = [each for each in judged if names[each.entry] in partitioned]
            outside = [each for each in judged if names[each.entry] not in partitioned]
            self.site.judged["calls at partitioned entries"] += len(inside)
            served, others = (sum(each.is_served for each in group) for group in (inside, outside))
            too_few = served * len(outside) < MIN_SERVED_RATIO * others * len(inside)
            failed = len(inside) - served
            if too_few and failed > MAX_FAILURES + MAX_FAILED_SHARE * len(judged):
                violations.append(
                    f"entries {sorted(partitioned)} that were partitioned served {served} of"
                    f" {len(inside)} calls, the others {others} of {len(outside)}"
                )
        return violations


def _is_held(entries: Sequence[Entry], port: int) -> bool:
    """Return whether one of some entries holds the connection from a local port."""
    inode = _inode_of(port)
    return inode is not None and any(_holds(each, inode) for each in entries)


def _inode_of(port: int) -> str | None:
    """Return the inode of the socket that is bound to a port and connected, None if none is."""
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        # A connecting socket shows the proxy's port as the remote one, the proxy's as the local.
        if int(fields[1].rpartition(":")[2], 16) == port and fields[9] != "0":
            return fields[9]
    return None


def _holds(entry: Entry, inode: str) -> bool:
    target = f"socket:[{inode}]"
    folder = Path(f"/proc/{entry.process.pid}/fd")
    try:
        return any(_link(each) == target for each in folder.iterdir())
    except OSError:  # The entry has ended.
        return False


def _link(path: Path) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ""
