"""Sends most new connections to one entry, and checks that what it reads is served as before.

Each entry gets a part of a processor from outside, as a scheduler's quota gives it. Callers open
more connections than one such entry can serve; those that it turns away unread try another one.
"""

from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import trio

from soak.caller_connection import CallerConnection, Manner, connect
from soak.callers import request_body, request_bytes
from soak.calls import Call
from soak.contact import CONTACT_SECONDS
from soak.disturbances import Span
from soak.events import EVENTS_PER_STREAM
from soak.site import Entry, Site
from soak.trouble import SiteTrouble

__all__ = ["ProcessorQuota", "WaveFaults"]

# Period of the quota, shorter than a pause that an entry detects as one of its own process.
QUOTA_PERIOD_SECONDS = 0.04
# Share of a processor that each entry has, and new connections a second at all entries before a
# wave and during it.
PROCESSOR_SHARE = 0.15
CALM_RATE = 4.0
MIN_WAVE_RATE = 40.0
MAX_WAVE_RATE = 60.0
CALM_SECONDS = 4.0
MIN_WAVE_SECONDS = 7.0
MAX_WAVE_SECONDS = 9.0
# The share of new connections that go to one entry during a wave.
TARGET_SHARE = 0.9
# An entry that isn't ready for this time gets no new connections; the wave goes to another.
OUT_SECONDS = 2.0
READY_POLL_SECONDS = 0.2
# What the platform allows: from the contact time after the start of a wave, requests are served at
# the first attempt that an entry has read at least this share as often as before the wave.
MIN_SERVED_RATIO = 3 / 4
# With fewer calls, the shares say little.
MIN_JUDGED_CALLS = 10
MAX_ATTEMPTS = 2
# How long a caller waits for an answer, beyond the time that a stream takes.
ATTEMPT_SLACK_SECONDS = 1.9
ROUTES = ("stream", "stream", "stream", "once", "again")
# The share of callers that keep a connection on which they were served, for some more requests.
KEPT_SHARE = 0.5
KEPT_REQUESTS = 8
MIN_KEPT_PAUSE_SECONDS = 0.1
MAX_KEPT_PAUSE_SECONDS = 0.6
LARGE_BODY_SHARE = 0.1
LARGE_BODY_BYTES = 100 * 1024


class ProcessorQuota:
    """Gives each entry a share of a processor, by stopping its process for the rest of a period.

    Args:
      site: the site whose entries are limited.
      share: the share of a processor.
    """

    def __init__(self, site: Site, share: float) -> None:
        self._site = site
        self._share = share

    async def run(self) -> None:
        """Limit the entries until cancelled; they go on then."""
        began_at = trio.current_time()
        try:
            while True:
                await trio.sleep(QUOTA_PERIOD_SECONDS * self._share)
                with self._site.pauses.hold([each.process for each in self._site.entries]):
                    await trio.sleep(QUOTA_PERIOD_SECONDS * (1.0 - self._share))
        finally:
            self._site.disturbances.slowed += [
                Span(each.name, began_at, trio.current_time()) for each in self._site.entries
            ]


@dataclass(frozen=True)
class _Attempts:
    """The attempts of one caller, the wave in which it came (None before one) and when."""

    calls: tuple[Call, ...]
    wave: int | None
    sent_at: float


@dataclass
class WaveFaults(SiteTrouble):
    """Sends waves of new connections, one after the other, and checks the result.

    With `keeps_connections`, some callers send more requests on theirs. `calls` has one call for
    each attempt.
    """

    keeps_connections: bool = False
    _sent: list[_Attempts] = field(default_factory=list)
    _count: int = 0
    # The begin of each wave.
    _waves: list[float] = field(default_factory=list)
    _seen_ready_at: dict[str, float] = field(default_factory=dict)

    @property
    def attempt_seconds(self) -> float:
        """How long a caller waits for the answer to one attempt."""
        return EVENTS_PER_STREAM * self.site.event_interval_seconds + ATTEMPT_SLACK_SECONDS

    async def run(self, until: float) -> None:
        """Send waves until a time on trio's clock; return once the last one has ended."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ProcessorQuota(self.site, PROCESSOR_SHARE).run)
            nursery.start_soon(self._watch_ready)
            async with trio.open_nursery() as call_nursery:
                while trio.current_time() < until:
                    await self._send(call_nursery, CALM_RATE, CALM_SECONDS, None)
                    await self._send_wave(call_nursery)
            nursery.cancel_scope.cancel()

    async def _watch_ready(self) -> None:
        while True:
            for entry in self.site.entries:
                if entry.caller_proxy.address in self.callers.ready_entries:
                    self._seen_ready_at[entry.name] = trio.current_time()
            await trio.sleep(READY_POLL_SECONDS)

    async def _send_wave(self, nursery: trio.Nursery) -> None:
        rate = self.random.uniform(MIN_WAVE_RATE, MAX_WAVE_RATE)
        seconds = self.random.uniform(MIN_WAVE_SECONDS, MAX_WAVE_SECONDS)
        target = self.random.choice(self.site.entries)
        self.log_fault(f"{rate:.0f} new connections a second to {target.name} for {seconds:.1f} s")
        self._waves.append(trio.current_time())
        await self._send(nursery, rate, seconds, target)

    async def _send(
        self, nursery: trio.Nursery, rate: float, seconds: float, target: Entry | None
    ) -> None:
        ends_at = trio.current_time() + seconds
        due_at = trio.current_time()
        while trio.current_time() < ends_at:
            if target is not None and self._is_out(target):
                target = self._choose(target)
                self.log_fault(f"new connections go to {target.name}")
            is_aimed = target is not None and self.random.random() < TARGET_SHARE
            entry = target if is_aimed else self._choose(target)
            nursery.start_soon(self._call, entry, len(self._waves) - 1 if target else None)
            due_at += self.random.uniform(0.5, 1.5) / rate
            await trio.sleep_until(due_at)

    def _is_out(self, entry: Entry) -> bool:
        seen_at = self._seen_ready_at.get(entry.name, float("-inf"))
        return trio.current_time() - seen_at > OUT_SECONDS

    def _choose(self, avoided: Entry | None) -> Entry:
        others = [each for each in self.site.entries if each is not avoided]
        return self.random.choice([each for each in others if not self._is_out(each)] or others)

    async def _call(self, entry: Entry, wave: int | None) -> None:
        """Send one request with its retry, and in some cases more on the same connection."""
        requests = 1
        if self.keeps_connections and self.random.random() < KEPT_SHARE:
            requests += KEPT_REQUESTS
        connection: CallerConnection | None = None
        for _ in range(requests):
            connection = await self._send_one(entry, wave, connection)
            if connection is None:
                return
            pause = self.random.uniform(MIN_KEPT_PAUSE_SECONDS, MAX_KEPT_PAUSE_SECONDS)
            await trio.sleep(pause if requests > 1 else 0.0)
        connection.close()

    async def _send_one(
        self, entry: Entry, wave: int | None, connection: CallerConnection | None
    ) -> CallerConnection | None:
        """Send one request; return its connection if another may follow on it."""
        self._count += 1
        number = self._count
        route = self.random.choice(ROUTES)
        body = b""
        if self.random.random() < LARGE_BODY_SHARE:
            body = bytes(LARGE_BODY_BYTES)
        sent_at = trio.current_time()
        calls: list[Call] = []
        for attempt in range(1, MAX_ATTEMPTS + 1):
            call = Call(f"w{number}r{attempt}", route, self.callers.keys[-1], trio.current_time())
            calls.append(call)
            connection = await self._attempt(entry, call, body or request_body(call), connection)
            call.duration_seconds = trio.current_time() - call.sent_at
            if call.status or call.duration_seconds >= self.attempt_seconds:
                break
            entry = self._choose(entry)
        self.calls += calls
        self._sent.append(_Attempts(tuple(calls), wave, sent_at))
        return connection

    async def _attempt(
        self, entry: Entry, call: Call, body: bytes, connection: CallerConnection | None
    ) -> CallerConnection | None:
        """Send a request, on a new connection if none is given; return one that can be reused."""
        is_reusable = False
        if connection is not None and not await connection.is_usable():
            connection.close()
            connection = None
        with trio.move_on_after(self.attempt_seconds):
            connection = connection or await connect(f"127.0.0.1:{entry.port}", small_buffers=False)
            if connection is not None:
                with suppress(OSError):
                    request = request_bytes(call, body)
                    is_reusable = await connection.send_request(request, call, Manner())
        if connection is not None and not is_reusable:
            connection.close()
        return connection if is_reusable else None

    def find_violations(self, calls: Sequence[Call]) -> list[str]:
        """Return the waves in which requests that were read were served too seldom."""
        arrived = {each["arrived"] for each in self.site.records if "arrived" in each}
        before = [
            each for attempts in self._sent if attempts.wave is None
            for each in self._first_read(attempts, arrived)
        ]  # fmt: skip
        violations = []
        for wave, began_at in enumerate(self._waves):
            inside = [
                each for attempts in self._sent
                if attempts.wave == wave and attempts.sent_at >= began_at + CONTACT_SECONDS
                for each in self._first_read(attempts, arrived)
            ]  # fmt: skip
            self.site.judged["calls in waves"] += len(inside)
            if min(len(inside), len(before)) < MIN_JUDGED_CALLS:
                continue
            served, served_before = (sum(each.is_served for each in x) for x in (inside, before))
            if served * len(before) < MIN_SERVED_RATIO * served_before * len(inside):
                violations.append(
                    f"wave {wave}: {served} of {len(inside)} requests were served at the first"
                    f" attempt that was read, {served_before} of {len(before)} before"
                )
        return violations

    def _first_read(self, attempts: _Attempts, arrived: set[str]) -> list[Call]:
        """Return the first attempt that an entry has read, none if no attempt was.

        One that was refused, or closed without a byte of an answer and without reaching a runner,
        wasn't read.
        """
        for call in attempts.calls:
            was_closed = not call.status and call.duration_seconds < self.attempt_seconds
            if not was_closed or call.request_id in arrived:
                return [call]
        return list(attempts.calls[-1:])
