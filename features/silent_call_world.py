"""Plain upstreams that are silent for a second and go on, on a virtual clock.

A silent process still has its connections accepted by its host; a silent host accepts none. What is
sent to either is read once it goes on.
"""

from collections import Counter
from enum import StrEnum
from unittest.mock import patch

import trio
from bound_world import with_bound
from crash_world import CrashWorld
from gateway_runner import StandinRunner
from gateway_world import default_config

from deckcourse.gateway.retry_allowance import RetryAllowance
from deckcourse.http1.message import ConnectionLostError, FailureKind

SILENCE_SECONDS = 1.0
TIMEOUT_MS = 5000
# How long a process waits for a connection.
CONNECT_SECONDS = 0.4
WORK_SECONDS = 0.3
# From the sending of the calls to the silence.
SILENT_AFTER_SECONDS = 0.1
# From the begin of a silence of a second until a row goes, and until it comes back.
ROW_REMOVAL_SECONDS = 0.5
ROW_GONE_SECONDS = 1.0
CALLS = 4
EARNED = 200
PLAIN = "crm"


class Silent(StrEnum):
    """What is silent."""

    PROCESS = "process"
    HOST = "host"


class SilentRunner(StandinRunner):
    """A runner that neither reads nor answers while it is silent."""

    async def handle(self, request, exchange):
        await trio.sleep_until(self.held_until)
        await super().handle(request, exchange)

    async def answer(self, run, exchange, answer):
        try:
            await trio.sleep(self.work)
            await trio.sleep_until(self.held_until)
        except trio.Cancelled:
            self.world.cancelled_at[run.request] = trio.current_time()
            raise
        run.ended = "answered"
        await exchange.respond(200, answer, f"answer to {run.request}".encode())


class SilentCallWorld(CrashWorld):
    """Processes, and upstreams of a plain service that fall silent.

    Args:
      processes: the number of processes.
      count: the number of plain upstreams.
      bound: the `maxAttempts` of each route.
    """

    def __init__(self, processes, count, bound):
        super().__init__()
        self.names = tuple((f"g{each}", "xy"[each % 2]) for each in range(processes))
        self.config = with_bound(call_config(), bound)
        self.silent = Silent.HOST
        # How long the first upstreams of calls are silent.
        self.first_silence = SILENCE_SECONDS
        self.calls = CALLS
        self.cancelled_at = {}
        self.answered_at = {}
        self.runners.clear()
        for number in range(count):
            runner = SilentRunner(self, f"c{number}", PLAIN, "xy"[number % 2])
            runner.slots, runner.work = 96, WORK_SECONDS
            self.runners[runner.instance] = runner

    def dial_of(self, process):
        async def dial(address):
            runner = next((each for each in self.runners.values() if each.address == address), None)
            if runner is not None and self.silent is Silent.HOST:
                with trio.move_on_after(CONNECT_SECONDS):
                    await trio.sleep_until(runner.held_until)
                if runner.held_until > trio.current_time():
                    error = ConnectionLostError(FailureKind.UNSENT, f"no connection: {address}")
                    raise error from trio.TooSlowError()
            return await self.network.dial(address)

        return dial

    def fall_silent(self, count):
        """Let so many upstreams be silent: first those that run calls."""
        running = Counter(each.instance for each in self.runs if each.ended == "cancelled")
        names = sorted(self.runners, key=lambda each: -running[each])
        for name in names[:count]:
            seconds = self.first_silence if running[name] else SILENCE_SECONDS
            self.runners[name].held_until = trio.current_time() + seconds

    async def lapse_rows(self):
        """Let the rows of the silent upstreams go for a second."""
        await trio.sleep(ROW_REMOVAL_SECONDS)
        names = [each for each in self.runners if self.runners[each].held_until > 0]
        for name in names:
            self.store.put("servers", name, None)
        await trio.sleep(ROW_GONE_SECONDS)
        for name in names:
            self.store.put("servers", name, self.runners[name].row())

    async def change(self):
        """Drop the routes and the service."""
        await trio.sleep(ROW_REMOVAL_SECONDS / 2)
        self.store.put("op", "config", default_config(2, routes=[], services=[]))

    async def stop(self):
        """Let the process that has the calls stop, and refuse new requests."""
        await trio.sleep(ROW_REMOVAL_SECONDS / 2)
        self.processes[0].node.stop()
        self.processes[0].node.refuse_new()

    def play_calls(self, route, silent_count, has_retries, beside=()):
        """Play some calls at once beside a silence; return what their callers got.

        Args:
          route: the route.
          silent_count: how many upstreams fall silent.
          has_retries: whether there are retries.
          beside: further async functions that run from the begin of the silence.
        """
        got = {}
        spend = RetryAllowance._spend

        async def story(site):
            async def call(number):
                name = f"call{number}"
                got[name] = await self.ask_at(self.processes[0], route, name, b"r")
                self.answered_at[name] = trio.current_time()

            for process in self.processes:
                for _ in range(EARNED):
                    process.node.gateway.context.budget(PLAIN).earn()
            async with trio.open_nursery() as nursery:
                for number in range(self.calls):
                    nursery.start_soon(call, number)
                await trio.sleep(SILENT_AFTER_SECONDS)
                self.fall_silent(silent_count)
                for each in beside:
                    nursery.start_soon(each)

        def spend_if_any(allowance, reserve_share):
            return has_retries and spend(allowance, reserve_share)

        with patch.object(RetryAllowance, "_spend", spend_if_any):
            self.play(story)
        return got

    def executed_by(self, request):
        """Return the upstreams that executed a request."""
        return {each.instance for each in self.runs if each.request == request}


def call_config():
    """Return a desired state with plain routes: with a key, at most once, and public."""
    config = default_config()
    routes = [each for each in config["routes"] if each["service"] == PLAIN]
    public = {**routes[1], "name": "public", "pathPrefix": "/public/", "public": True}
    return {**config, "routes": [{**each, "timeoutMs": TIMEOUT_MS} for each in (*routes, public)]}
