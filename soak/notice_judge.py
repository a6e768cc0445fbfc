"""Whether entries kept to what runners asked for, by the runners' own records of arrivals."""

import time
from collections import defaultdict

import trio

from soak.calls import Call
from soak.notice_faults import Holds
from soak.notices import FROM, start_name
from soak.site import Site

__all__ = ["wrong_arrivals"]

# What was on its way when the answer came may arrive within this time, seconds, and so many
# requests after it: that is what is promised of each process.
ON_ITS_WAY_SECONDS = 0.5
MOST_IN_BACKOFF = 2
# A caller's request that it sent so long after it had a whole answer by which a runner leaves, to
# the same process, seconds.
LEAVING_SECONDS = 0.5
# An answer that met the end of its connection around this time may not have come, seconds.
LOST_BEFORE_SECONDS = 0.1
LOST_AFTER_SECONDS = 0.3
LEAVING = b"server-leaving"


def wrong_arrivals(site: Site, calls: list[Call], holds: Holds) -> list[str]:
    """Return what reached runners that had asked for none of it."""
    offset = trio.current_time() - time.monotonic()
    entries = {entry.front.address: entry.name for entry in site.entries}
    by_call = {each.name: each for each in calls}
    records = [each | {"at": each["clock"] + offset} for each in site.records if "clock" in each]
    arrivals: dict[str, list[tuple[float, int, Call]]] = defaultdict(list)
    for each in records:
        call = by_call.get(each.get("arrived", ""))
        if call is not None:
            arrivals[each["instance"]].append((each["at"], each["born"], call))
    return [
        *_in_backoff(records, arrivals, by_call, entries, holds, site),
        *_after_leaving(calls, site, arrivals, entries, holds),
    ]


def _in_backoff(
    records: list[dict],
    arrivals: dict[str, list[tuple[float, int, Call]]],
    by_call: dict[str, Call],
    entries: dict[str, str],
    holds: Holds,
    site: Site,
) -> list[str]:
    broken = []
    for asked in (each for each in records if "asked" in each):
        call, instance = by_call.get(asked["asked"]), asked["instance"]
        if call is None:
            continue
        begin, end = asked["at"], asked["at"] + asked["seconds"]
        place, entry = instance.partition(".")[0], entries[call.entry]
        cut = holds.moment_in(place, begin - LOST_BEFORE_SECONDS, begin + LOST_AFTER_SECONDS)
        if cut or holds.touch(place, begin, end) or holds.touch(entry, begin, end):
            continue
        late = [
            other.name
            for at, _, other in arrivals[instance]
            if begin + ON_ITS_WAY_SECONDS < at < end and other.entry == call.entry
        ]
        site.judged["backoffs"] += 1
        site.judged["arrivals in backoffs"] += len(late)
        if len(late) > MOST_IN_BACKOFF:
            asks = f"{instance} asked {entry} for {asked['seconds']} s"
            broken.append(f"{asks} (answer to {call.name}) and got {late}")
    return broken


def _after_leaving(
    calls: list[Call],
    site: Site,
    arrivals: dict[str, list[tuple[float, int, Call]]],
    entries: dict[str, str],
    holds: Holds,
) -> list[str]:
    broken = []
    for call in calls:
        if not call.served or not call.answer.header(LEAVING):
            continue
        # Whose word it is: the first run may have been lost before anything of it was passed on.
        told_by = call.answer.header(FROM).decode()
        told_at, entry = call.sent_at + call.seconds, entries[call.entry]
        site.judged["leavings"] += 1
        for at, born, other in arrivals[told_by.partition("@")[0]]:
            late = other.entry == call.entry and other.sent_at > told_at + LEAVING_SECONDS
            same = start_name(told_by.partition("@")[0], born) == told_by
            if late and same and not holds.touch(entry, told_at, at):
                told = f"{told_by} left by its answer to {call.name}"
                broken.append(f"{told}, and got {other.name} from {entry}")
    return broken
