"""Two entries of one failure domain in trouble at once, beside changes and runners that leave.

The entries that read the store for their domain are chosen most often: the others of the domain
learn of changes from them. Those must know each change in the time that the rules give, since
nothing disturbs them.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from signal import SIGKILL

import trio

from soak.callers import request_body, request_bytes
from soak.calls import Call
from soak.change_faults import ChangeFaults
from soak.configuration import SECOND_SERVICE, AddedRoute
from soak.contact import APPLY_SECONDS
from soak.entry_restart import restart_entry
from soak.proxy import Mode
from soak.silence_faults import MAX_PAUSE_SECONDS, MIN_PAUSE_SECONDS, SilenceFaults
from soak.site import Entry
from soak.trouble import send_alone

__all__ = ["PairFaults"]

DOMAINS = "ab"
STATE_READ = b"table=op"
# How often the pair are those that read the store.
READER_SHARE = 0.75
# How often two are frozen, cut off, killed and slow, relative to each other, and both the same.
ACT_WEIGHTS = (3, 3, 1, 1)
ALIKE_SHARE = 0.5
# How often the trouble of both begins at the same moment, else up to this much later for one.
TOGETHER_SHARE = 0.5
MAX_TURN_SECONDS = 2.0
MIN_TROUBLE_SECONDS = 3.0
MAX_TROUBLE_SECONDS = 5.0
# A slow entry runs for a part of the time.
SLOW_PERIOD_SECONDS = 0.1
SLOW_SHARE = 0.5
PLAIN_ROUTES = ("once", "again")
# From the begin of the trouble to a change, and calls from the apply time on.
MAX_MOVE_DELAY_SECONDS = 0.3
CALL_MARGIN_SECONDS = 0.02
CALLS_OF_MOVED_ROUTE = 12
CALL_INTERVAL_SECONDS = 0.1
# From the trouble of one pair to the next: most entries are in touch again.
MIN_CALM_SECONDS = 1.0
MAX_CALM_SECONDS = 3.5


@dataclass
class PairFaults(SilenceFaults):
    """Troubles two entries of a domain at once; what reaches runners that have left is judged."""

    judged_leaves = "leaves beside pairs in trouble"

    async def run(self, until: float) -> None:
        """Trouble pairs until a time on trio's clock; return once all runners are back."""
        changes = ChangeFaults(
            self.site,
            self.callers,
            Random(self.random.random()),
            self.log_fault,
            self.interruptions,
            self.calls,
            min_calm_seconds=MIN_PAUSE_SECONDS,
            max_calm_seconds=MAX_PAUSE_SECONDS,
        )
        for entry in self.site.entries:
            entry.store.note_requests(STATE_READ)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(changes.run, until)
            nursery.start_soon(self._let_runners_leave, until)
            # The readers are known, and there are routes to move.
            await trio.sleep(MAX_CALM_SECONDS)
            await self.repeat(until, self._trouble_pair, MIN_CALM_SECONDS, MAX_CALM_SECONDS)

    async def _trouble_pair(self) -> None:
        pair = self._draw_pair()
        acts = self.random.choices(
            (self._freeze, self._cut, self._kill, self._slow), ACT_WEIGHTS, k=2
        )
        is_alike = self.random.random() < ALIKE_SHARE
        async with trio.open_nursery() as nursery:
            for number, entry in enumerate(pair):
                act = acts[0 if is_alike else number]
                seconds = self.random.uniform(MIN_TROUBLE_SECONDS, MAX_TROUBLE_SECONDS)
                is_late = number and self.random.random() >= TOGETHER_SHARE
                delay = self.random.uniform(0.0, MAX_TURN_SECONDS) if is_late else 0.0
                nursery.start_soon(self._after, delay, partial(act, entry, seconds))
            domain = self._domain(self.site.entries.index(pair[0]))
            nursery.start_soon(self._move_route, [each for each in domain if each not in pair])

    async def _after(self, delay: float, act: Callable[[], Awaitable[None]]) -> None:
        await trio.sleep(delay)
        await act()

    async def _move_route(self, entries: Sequence[Entry]) -> None:
        """Move a route to the other service, and call it at entries once they must know that."""
        state = self.site.configuration
        routes = [each for each in state.added_routes if each.like in PLAIN_ROUTES]
        if not routes:
            return
        await trio.sleep(self.random.uniform(0.0, MAX_MOVE_DELAY_SECONDS))
        route = self.random.choice(routes)
        service = SECOND_SERVICE if route.shares[0][0] == "crm" else "crm"
        moved = replace(route, shares=((service, 1.0),))
        state = self.site.configuration
        self.log_fault(f"route {route.name} moves to {service}")
        self.site.configure(
            version=state.version + 1,
            added_routes=tuple(moved if each == route else each for each in state.added_routes),
        )
        await trio.sleep(APPLY_SECONDS + CALL_MARGIN_SECONDS)
        async with trio.open_nursery() as nursery:
            for _ in range(CALLS_OF_MOVED_ROUTE):
                for entry in entries:
                    nursery.start_soon(self._call, entry, route)
                await trio.sleep(CALL_INTERVAL_SECONDS)

    async def _call(self, entry: Entry, route: AddedRoute) -> None:
        call = Call(
            f"y{len(self.calls)}",
            route.like,
            self.site.configuration.keys[-1],
            trio.current_time(),
            route_name=route.name,
        )
        with self.own_call(call):
            await send_alone(
                entry.caller_proxy.address, request_bytes(call, request_body(call)), call
            )

    def _draw_pair(self) -> Sequence[Entry]:
        """Draw two entries of a domain, mostly those that read the store for the others."""
        entries = self._domain(self.random.randrange(len(DOMAINS)))
        pair = self.random.sample(entries, min(2, len(entries)))
        if self.random.random() < READER_SHARE:
            pair = sorted(entries, key=lambda each: each.store.noted_at(STATE_READ))[-2:]
        return pair

    def _domain(self, number: int) -> Sequence[Entry]:
        """Return the entries in the failure domain of the one with a number."""
        return self.site.entries[number % len(DOMAINS) :: len(DOMAINS)]

    def _note(self, entry: Entry, what: str, seconds: float) -> None:
        self.log_fault(f"entry {entry.name}: {what} for {seconds:.1f} s")
        self.site.judged["pairs of entries in trouble"] += 1
        self.interruptions.record(entry.name, seconds)
        self.site.disturbances.record(entry.name, seconds)

    async def _freeze(self, entry: Entry, seconds: float) -> None:
        self._note(entry, "frozen", seconds)
        with self.site.pauses.hold([entry.process]):
            await trio.sleep(seconds)

    async def _cut(self, entry: Entry, seconds: float) -> None:
        self._note(entry, "cut off from the store", seconds)
        self.site.disturbances.record_cut(f"{entry.name} to store", seconds)
        entry.store.set_mode(Mode.SILENT)
        await trio.sleep(seconds)
        entry.store.set_mode(Mode.PASS)

    async def _kill(self, entry: Entry, seconds: float) -> None:
        self._note(entry, "killed", 0.0)
        await restart_entry(self.site, entry, SIGKILL, self.interruptions)

    async def _slow(self, entry: Entry, seconds: float) -> None:
        self._note(entry, "slow", seconds)
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            with self.site.pauses.hold([entry.process]):
                await trio.sleep(SLOW_PERIOD_SECONDS * SLOW_SHARE)
            await trio.sleep(SLOW_PERIOD_SECONDS * (1.0 - SLOW_SHARE))

    async def _let_runners_leave(self, until: float) -> None:
        """Let one runner after the other leave without a word; none of it disturbs an entry."""
        random = Random(self.random.random())

        async def leave() -> None:
            await self.let_leave(random.choice(self.site.runners), float("-inf"))

        await self.repeat(until, leave, MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
