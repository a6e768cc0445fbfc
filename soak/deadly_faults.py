"""Callers that repeat requests which crash their runners, and the check of their quarantine."""

import time
from collections import defaultdict
from collections.abc import Callable
from random import Random

import trio

from soak.caller_connection import Manner, connect
from soak.callers import DEADLINE_SECONDS, LATE_SECONDS, Callers, request_bytes
from soak.calls import Call
from soak.deadly import CRASH_BODY_PREFIX, CRASH_EXIT_CODE
from soak.notice_faults import Holds
from soak.site import RunnerProcess, Site

__all__ = ["DeadlyFaults"]

# The number of crash requests; each is repeated under a new request id each time.
REQUESTS = 2
# The routes that are drawn from.
KINDS = ("stream", "stream", "fragile", "once", "again")
# The time between two attempts of one crash request.
SHORTEST_GAP_SECONDS = 0.1
LONGEST_GAP_SECONDS = 1.0
# The time between the crash of a runner and its restart.
SHORTEST_BACK_SECONDS = 0.5
LONGEST_BACK_SECONDS = 1.5
LOOK_SECONDS = 0.05
# What the platform allows: this many attempts later than this time after the third crash, by
# processes without an interruption for the same time.
ALLOWED_LATER = 3
CONTACT_SECONDS = 3.0


class DeadlyFaults:
    """Sends crash requests, restarts the runners that crashed, and checks the result.

    Args:
      site: the site whose runners crash.
      callers: the callers whose entries and keys are used.
      random: chooses the times and the entries.
      log_fault: called with a description of each crash.
      interruptions: when processes were paused or links were cut, which excuses missing knowledge.
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
        """All crash requests, one call for each attempt."""
        return list(self._calls.values())

    async def run(self, until: float) -> None:
        """Send crash requests until a time on trio's clock."""
        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS):
                nursery.start_soon(self._send_on, number, until)

    async def restart_ended(self) -> None:
        """Restart the runners that crashed by such a request, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for runner in self._site.runners:
                    name = runner.spec.instance
                    ended = runner.process is not None and runner.process.poll() == CRASH_EXIT_CODE
                    if ended and name not in self._starting:
                        self._starting.add(name)
                        self._say(f"runner {name} crashed by a request")
                        nursery.start_soon(self._restart, runner)
                await trio.sleep(LOOK_SECONDS)

    async def _restart(self, runner: RunnerProcess) -> None:
        ended = runner.process
        self._holds.note_moment(runner.spec.instance)
        await trio.sleep(self._random.uniform(SHORTEST_BACK_SECONDS, LONGEST_BACK_SECONDS))
        # Another fault may have restarted it in the meantime.
        if runner.process is ended:
            self._site.start_runner(runner)
        self._starting.discard(runner.spec.instance)

    async def _send_on(self, number: int, until: float) -> None:
        kind, body = self._random.choice(KINDS), CRASH_BODY_PREFIX + str(number).encode()
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
        connection = await connect(entry, small_buffers=False)
        if connection is None:
            return
        try:
            await connection.ask(request_bytes(call, body), call, Manner())
        finally:
            connection.close()

    def broken(self) -> list[str]:
        """Return the requests that were still sent to runners after three crashes."""
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
                broken.append(f"{body} had crashed 3 runners and was still sent {len(late)} times")
        return broken

    def _is_late(self, run: tuple[float, str], third_at: float) -> bool:
        """Return whether a request was sent by a process that had to know of three crashes."""
        at, request = run
        address = self._calls[request].entry
        names = [each.name for each in self._site.entries if each.front.address == address]
        held = [name for each in names for name in (each, f"{each} to store")]
        contact = at - CONTACT_SECONDS
        return at > third_at + CONTACT_SECONDS and not any(
            self._holds.touch(name, contact, at) or self._holds.moment_in(name, contact, at)
            for name in held
        )
