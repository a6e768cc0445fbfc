"""Callers that repeat requests which crash their runners, and the check of their quarantine."""

from collections import defaultdict
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

import trio

from soak.callers import request_bytes
from soak.calls import Call
from soak.deadly import CRASH_BODY_PREFIX, CRASH_EXIT_CODE, CRASH_PART
from soak.site import RunnerProcess
from soak.trouble import SiteTrouble, send_alone

__all__ = ["CrashFaults", "CrashRestarts", "PartCrashFaults"]

# The number of crash requests; each is repeated under a new request id each time.
CRASH_REQUEST_COUNT = 2
# The routes that are drawn from.
DRAWN_ROUTES = ("stream", "stream", "fragile", "once", "again")
# The time between two attempts of one crash request.
MIN_ATTEMPT_INTERVAL_SECONDS = 0.1
MAX_ATTEMPT_INTERVAL_SECONDS = 1.0
# The time between the crash of a runner and its restart.
MIN_RESTART_DELAY_SECONDS = 0.5
MAX_RESTART_DELAY_SECONDS = 1.5
POLL_INTERVAL_SECONDS = 0.05
# What the platform allows: this many attempts later than this time after the third crash, by
# processes without an interruption for the same time.
MAX_LATE_ATTEMPTS = 3
CRASH_NOTICE_GRACE_SECONDS = 3.0
# For requests that share a part, the same holds from this crash on.
COUNTED_PART_CRASH = 5
# Only prompts have parts.
PART_ROUTES = ("stream", "fragile")


@dataclass
class CrashFaults(SiteTrouble):
    """Sends crash requests, and checks the result; `calls` has one call for each attempt."""

    async def run(self, until: float) -> None:
        """Send crash requests until a time on trio's clock."""
        async with trio.open_nursery() as nursery:
            for number in range(CRASH_REQUEST_COUNT):
                nursery.start_soon(self._send_repeatedly, number, until)

    async def _send_repeatedly(self, number: int, until: float) -> None:
        route, body = self.random.choice(DRAWN_ROUTES), CRASH_BODY_PREFIX + str(number).encode()
        attempt_count = 0
        while trio.current_time() < until:
            attempt_count += 1
            call = Call(
                f"x{number}r{attempt_count}", route, self.callers.keys[-1], trio.current_time()
            )
            with self.own_call(call):
                await self._send(call, body)
            await trio.sleep(
                self.random.uniform(MIN_ATTEMPT_INTERVAL_SECONDS, MAX_ATTEMPT_INTERVAL_SECONDS)
            )

    async def _send(self, call: Call, body: bytes, shared_parts: tuple[str, ...] = ()) -> None:
        await send_alone(self.draw_entry(), request_bytes(call, body, shared_parts), call)

    def find_violations(self, calls: Sequence[Call]) -> list[str]:
        """Return the requests that were still sent to runners after three crashes."""
        runs_by_body: dict[str, list[tuple[float, str]]] = defaultdict(list)
        for body, *crash in self._crashes("deadly"):
            runs_by_body[body].append(tuple(crash))
        violations = []
        for body, runs in runs_by_body.items():
            crashes = sorted(runs)
            self.site.judged["runners ended by requests"] += len(crashes)
            late_attempts = [each for each in crashes[3:] if self._is_late(each, crashes[2][0])]
            if len(late_attempts) > MAX_LATE_ATTEMPTS:
                violations.append(
                    f"{body} had crashed 3 runners and was still sent {len(late_attempts)} times"
                )
        return violations

    def _crashes(self, field_name: str) -> list[tuple[str, float, str]]:
        """Return the value of a field of the records that have it, when they were, the request."""
        offset = self.site.clock_offset
        return [
            (each[field_name], each["clock"] + offset, each["request"])
            for each in self.site.records
            if field_name in each
        ]

    def _is_late(self, run: tuple[float, str], counted_crash_at: float) -> bool:
        """Return whether a request was sent by a process that had to know of the crashes."""
        at, request = run
        address = next(each.entry for each in self.calls if each.request_id == request)
        entry_names = [
            each.name for each in self.site.entries if each.caller_proxy.address == address
        ]
        names = [name for each in entry_names for name in (each, f"{each} to store")]
        known_from = at - CRASH_NOTICE_GRACE_SECONDS
        return at > counted_crash_at + CRASH_NOTICE_GRACE_SECONDS and not any(
            self.interruptions.overlaps(name, known_from, at)
            or self.interruptions.was_reset(name, known_from, at)
            for name in names
        )


@dataclass
class CrashRestarts(SiteTrouble):
    """Restarts the runners that requests have crashed."""

    _restarting: set[str] = field(default_factory=set)

    async def run(self, until: float) -> None:
        """Restart them until a time on trio's clock, or until cancelled."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                for runner in self.site.runners:
                    name = runner.spec.instance
                    has_crashed = (
                        runner.process is not None and runner.process.poll() == CRASH_EXIT_CODE
                    )
                    if has_crashed and name not in self._restarting:
                        self._restarting.add(name)
                        self.log_fault(f"runner {name} was crashed by a request")
                        nursery.start_soon(self._restart, runner)
                await trio.sleep(POLL_INTERVAL_SECONDS)

    async def _restart(self, runner: RunnerProcess) -> None:
        crashed_process = runner.process
        self.interruptions.record_reset(runner.spec.instance)
        crashed_at = trio.current_time() - POLL_INTERVAL_SECONDS
        self.site.disturbances.record(runner.spec.instance, since=crashed_at)
        await trio.sleep(self.random.uniform(MIN_RESTART_DELAY_SECONDS, MAX_RESTART_DELAY_SECONDS))
        # Another fault may have restarted it in the meantime.
        if runner.process is crashed_process:
            self.site.start_runner(runner)
        self._restarting.discard(runner.spec.instance)


class PartCrashFaults(CrashFaults):
    """Sends different requests that share a part which crashes runners, and checks the result."""

    async def run(self, until: float) -> None:
        """Send such requests until a time on trio's clock."""
        await self.start_repeatedly(
            until, self._draw_call, MIN_ATTEMPT_INTERVAL_SECONDS, MAX_ATTEMPT_INTERVAL_SECONDS
        )

    def _draw_call(self) -> Callable[[], Awaitable[None]]:
        name, route = f"y0r{len(self.calls)}", self.random.choice(PART_ROUTES)
        call = Call(name, route, self.callers.keys[-1], trio.current_time())
        return partial(self._send_once, call)

    async def _send_once(self, call: Call) -> None:
        with self.own_call(call):
            await self._send(call, call.request_id.encode(), (CRASH_PART,))

    def find_violations(self, calls: Sequence[Call]) -> list[str]:
        """Return whether too many of them were sent to runners after the counted crash."""
        crashes = sorted(tuple(crash) for _, *crash in self._crashes("deadly_part"))
        self.site.judged["runners ended by a part"] += len(crashes)
        if len(crashes) <= COUNTED_PART_CRASH:
            return []
        counted_at = crashes[COUNTED_PART_CRASH - 1][0]
        late = [each for each in crashes[COUNTED_PART_CRASH:] if self._is_late(each, counted_at)]
        if len(late) <= MAX_LATE_ATTEMPTS:
            return []
        return [f"a part had crashed {COUNTED_PART_CRASH} runners and was sent {len(late)} times"]
