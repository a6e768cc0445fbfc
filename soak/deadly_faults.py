"""Callers who send requests that end their runners again and again, and who judges that."""

import time
from collections import defaultdict
from collections.abc import Callable
from random import Random

import trio

from soak.caller_connection import Manner, connect
from soak.callers import DEADLINE_SECONDS, LATE_SECONDS, Callers, request_bytes
from soak.calls import Call
from soak.deadly import DEADLY, DEADLY_EXIT
from soak.notice_faults import Holds
from soak.site import RunnerProcess, Site

__all__ = ["DeadlyFaults"]

# So many such requests come, each again and again and under another id each time.
REQUESTS = 2
# The routes that they come by.
KINDS = ("stream", "stream", "fragile", "once", "again")
# Between two sendings of one of them, seconds.
SHORTEST_GAP_SECONDS = 0.1
LONGEST_GAP_SECONDS = 1.0
# From the end of a runner until its place starts again, seconds.
SHORTEST_BACK_SECONDS = 0.5
LONGEST_BACK_SECONDS = 1.5
LOOK_SECONDS = 0.05
# What the platform allows: so many sendings later than so long after the third end, seconds, by
# processes that met no fault for as long.
ALLOWED_LATER = 3
CONTACT_SECONDS = 3.0


class DeadlyFaults:
    """Sends such requests, lets the places of ended runners start again, and judges.

    Args:
      site: whose runners end.
      callers: whose entries and keys are used.
      random: draws when and where.
      say: told of each end.
      holds: when processes stood still or links were cut, which excuses what they didn't know.
    """

    def __init__(
        self,
        site: Site,
        callers: Callers,
        random: Random,
        say: Callable[[str], None],
        holds: Holds,
    ) -> None:
        self._site = site
        self._callers = callers
        self._random = random
        self._say = say
        self._holds = holds
        self._calls: dict[str, Call] = {}
        self._starting: set[str] = set()

    @property
    def calls(self) -> list[Call]:
        """All such requests, each attempt of its own."""
        return list(self._calls.values())

    async def run(self, until: float) -> None:
        """Send them until a moment of trio's clock."""
        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS):
                nursery.start_soon(self._send_on, number, until)

    async def restart_ended(self) -> None:
        """Start places again whose runners ended by such a request, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for runner in self._site.runners:
                    name = runner.spec.instance
                    ended = runner.process is not None and runner.process.poll() == DEADLY_EXIT
                    if ended and name not in self._starting:
                        self._starting.add(name)
                        self._say(f"runner {name} ended by a request")
                        nursery.start_soon(self._restart, runner)
                await trio.sleep(LOOK_SECONDS)

    async def _restart(self, runner: RunnerProcess) -> None:
        ended = runner.process
        self._holds.note_moment(runner.spec.instance)
        await trio.sleep(self._random.uniform(SHORTEST_BACK_SECONDS, LONGEST_BACK_SECONDS))
        # Another fault may have started it meanwhile.
        if runner.process is ended:
            self._site.start_runner(runner)
        self._starting.discard(runner.spec.instance)

    async def _send_on(self, number: int, until: float) -> None:
        kind, body = self._random.choice(KINDS), DEADLY + str(number).encode()
        asked = 0
        while trio.current_time() < until:
            asked += 1
            call = Call(f"x{number}r{asked}", kind, self._callers.keys[-1], trio.current_time())
            self._calls[call.name] = call
            with trio.move_on_after(DEADLINE_SECONDS + LATE_SECONDS):
                await self._send(call, body)
            call.seconds = trio.current_time() - call.sent_at
            gap = self._random.uniform(SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS)
            await trio.sleep(gap)

    async def _send(self, call: Call, body: bytes) -> None:
        entry = self._random.choice(sorted(self._callers.ready) or self._callers.entries)
        connection = await connect(entry, narrow=False)
        if connection is None:
            return
        try:
            await connection.ask(request_bytes(call, body), call, Manner())
        finally:
            connection.close()

    def broken(self) -> list[str]:
        """Return which of them were sent on though three runners had ended under them."""
        offset = trio.current_time() - time.monotonic()
        runs: dict[str, list[tuple[float, str]]] = defaultdict(list)
        for each in self._site.records:
            if "deadly" in each:
                runs[each["deadly"]].append((each["clock"] + offset, each["request"]))
        broken = []
        for body, sent in runs.items():
            ends = sorted(sent)
            self._site.judged["runners ended by requests"] += len(ends)
            late = [each for each in ends[3:] if self._is_late(each, ends[2][0])]
            if len(late) > ALLOWED_LATER:
                broken.append(f"{body} had ended 3 runners and was sent on {len(late)} times")
        return broken

    def _is_late(self, run: tuple[float, str], third_at: float) -> bool:
        """Return whether a run was sent on by a process that had to know of three ends."""
        at, request = run
        address = self._calls[request].entry
        names = [each.name for each in self._site.entries if each.front.address == address]
        held = [name for each in names for name in (each, f"{each} to store")]
        contact = at - CONTACT_SECONDS
        return at > third_at + CONTACT_SECONDS and not any(
            self._holds.touch(name, contact, at) or self._holds.moment_in(name, contact, at)
            for name in held
        )
