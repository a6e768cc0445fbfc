"""Sound runners that fall silent for about a second and go on, which ends no stream.

One, some or all runners of a domain or a service fall silent at once, or in a series: each next one
is the runner to which the streams of the one before were sent again. Nothing is killed or cut.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import trio

from soak.callers import DEADLINE_SECONDS
from soak.calls import STREAM_ROUTES, Call
from soak.configuration import MIN_TIMEOUT_SECONDS
from soak.lost_judge import LIMIT_MARGIN_SECONDS
from soak.site import RunnerProcess
from soak.trouble import SiteTrouble

__all__ = ["SilentRunnerFaults"]

# Further callers of streams that may be resumed, so that most silences meet some.
CALLER_COUNT = 8
# How long a runner is silent.
MIN_SILENCE_SECONDS = 0.9
MAX_SILENCE_SECONDS = 1.2
# The time between the begins of two faults. Some last longer, so that they overlap.
MIN_FAULT_INTERVAL_SECONDS = 0.4
MAX_FAULT_INTERVAL_SECONDS = 1.8
MAX_RUNNERS_AT_ONCE = 4
# The runners of a series, and how long it waits for the next one to get streams.
MIN_SERIES_RUNNERS = 2
MAX_SERIES_RUNNERS = 5
SERIES_WAIT_SECONDS = 1.5
SERIES_POLL_SECONDS = 0.02
# Between the first run of a stream at the next runner and its silence.
MAX_SERIES_DELAY_SECONDS = 0.2
# A client gives up a stream after so long a gap.
CLIENT_GAP_SECONDS = 2.0
REFUSAL_STATUSES = (429, 503)


@dataclass
class SilentRunnerFaults(SiteTrouble):
    """Silences sound runners, and checks that their streams go on."""

    async def run(self, until: float) -> None:
        """Silence runners until a time on trio's clock; return once all of them go on."""
        load_random = Random(self.random.random())
        async with self.further_callers(
            CALLER_COUNT, load_random, routes=("stream",), name_prefix="s"
        ):
            await self._silence_repeatedly(until)

    async def _silence_repeatedly(self, until: float) -> None:
        choices = (
            self._silence_one,
            self._silence_some,
            self._silence_domain,
            self._silence_service,
            self._silence_series,
            self._silence_series,
            self._silence_series,
            self._silence_series,
        )
        await self.start_repeatedly(
            until,
            lambda: self.random.choice(choices),
            MIN_FAULT_INTERVAL_SECONDS,
            MAX_FAULT_INTERVAL_SECONDS,
        )

    async def _silence_one(self) -> None:
        await self._silence_together([self.random.choice(self.site.runners)])

    async def _silence_some(self) -> None:
        count = self.random.randint(2, MAX_RUNNERS_AT_ONCE)
        await self._silence_together(self.random.sample(self.site.runners, count))

    async def _silence_domain(self) -> None:
        domain = self.random.choice(sorted({each.spec.domain for each in self.site.runners}))
        await self._silence_together(
            [each for each in self.site.runners if each.spec.domain == domain]
        )

    async def _silence_service(self) -> None:
        service = self.random.choice(sorted({each.spec.service for each in self.site.runners}))
        await self._silence_together(
            [each for each in self.site.runners if each.spec.service == service]
        )

    async def _silence_together(self, runners: Sequence[RunnerProcess]) -> None:
        """Silence runners at once; each goes on after a time of its own."""
        async with trio.open_nursery() as nursery:
            for each in runners:
                seconds = self.random.uniform(MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS)
                nursery.start_soon(self._silence, each, seconds)

    async def _silence_series(self) -> None:
        """Silence the runner of most streams, then each next one that gets streams of these."""
        candidates = [each for each in self.site.runners if each.spec.layers]
        self.random.shuffle(candidates)
        runner = max(candidates, key=lambda each: len(self._requests_at(each)))
        count = self.random.randint(MIN_SERIES_RUNNERS, MAX_SERIES_RUNNERS)
        requests: set[str] = set()
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                requests |= self._requests_at(runner)
                record_count = len(self.site.records)
                seconds = self.random.uniform(MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS)
                nursery.start_soon(self._silence, runner, seconds)
                runner = await self._next_runner(requests, record_count)
                if runner is None:
                    return
                await trio.sleep(self.random.uniform(0.0, MAX_SERIES_DELAY_SECONDS))

    def _requests_at(self, runner: RunnerProcess) -> set[str]:
        """Return the requests that a runner is at work on."""
        open_runs: Counter[str] = Counter()
        for each in self.site.records:
            if each.get("instance") == runner.process_name:
                if "run" in each:
                    open_runs[each["run"]] += 1
                elif "run_ended" in each:
                    open_runs[each["run_ended"]] -= 1
        return {name for name, count in open_runs.items() if count > 0}

    async def _next_runner(self, requests: set[str], since: int) -> RunnerProcess | None:
        """Return the first runner to run one of some requests after a record, None if none does."""
        with trio.move_on_after(SERIES_WAIT_SECONDS):
            while True:
                new = self.site.records[since:]
                since += len(new)
                for each in new:
                    if each.get("run") in requests:
                        name = each["instance"].partition(".")[0]
                        runner = next(it for it in self.site.runners if it.spec.instance == name)
                        if not self.site.pauses.is_paused(runner.process):
                            return runner
                await trio.sleep(SERIES_POLL_SECONDS)
        return None

    async def _silence(self, runner: RunnerProcess, seconds: float) -> None:
        """Silence a runner, unless it is silent or another fault has ended it."""
        name, process = runner.spec.instance, runner.process
        if self.site.pauses.is_paused(process) or process.poll() is not None:
            return
        self.log_fault(f"sound runner {name} silent for {seconds:.2f} s")
        self.interruptions.record(name, seconds)
        self.site.judged["silences of sound runners"] += 1
        with self.site.pauses.hold([process]):
            await trio.sleep(seconds)

    def find_violations(
        self, calls: Sequence[Call], is_excused: Callable[[Call], bool] = lambda call: False
    ) -> list[str]:
        """Return the streams that were ended although nothing but silence occurred.

        `soak/excuses.py` tells beside which kinds it applies.

        Args:
          calls: the calls of all callers.
          is_excused: whether planned work is a reason to end a call's answer.
        """
        passed_on = {each["arrived"] for each in self.site.records if "arrived" in each}
        streams = [each for each in calls if each.route in STREAM_ROUTES]
        ended = [
            each
            for each in streams
            if not _was_allowed_to_end(each)
            and not is_excused(each)
            and (each.request_id in passed_on or each.status)
        ]
        self.site.judged["streams beside silent runners"] = len(streams)
        self.site.judged["streams that silence ended"] = len(ended)
        # What these end for is allowed, but a gateway that waits too long ends more of them.
        incomplete = [
            each
            for each in streams
            if not (each.is_served or each.has_disconnected or each.whole_sent_at == float("inf"))
        ]
        self.site.judged["streams that reached their time limit"] = sum(
            _has_reached_limit(each) for each in incomplete
        )
        self.site.judged["incomplete streams whose callers never paused"] = sum(
            not each.paused_seconds and each.status not in REFUSAL_STATUSES for each in incomplete
        )
        self.site.judged["incomplete streams with a gap that ends them"] = sum(
            _has_client_gap(each) for each in incomplete
        )
        return [
            f"ended beside silent runners: {each.description} {each.ending}, status {each.status},"
            f" {each.received_bytes} bytes, after {each.ended_at - each.sent_at:.2f} s, sent at"
            f" {each.sent_at:.2f}, longest gap {each.longest_gap_seconds:.2f} s"
            for each in ended
        ]


def _was_allowed_to_end(call: Call) -> bool:
    """Return whether a stream is whole, was refused, or was ended by its caller or by time."""
    return (
        call.is_served
        or call.has_disconnected
        or call.status in REFUSAL_STATUSES
        or call.whole_sent_at == float("inf")
        or _has_client_gap(call)
        or _has_reached_limit(call)
    )


def _has_client_gap(call: Call) -> bool:
    return call.longest_gap_seconds >= CLIENT_GAP_SECONDS - LIMIT_MARGIN_SECONDS


def _has_reached_limit(call: Call) -> bool:
    limit_seconds = min(DEADLINE_SECONDS, MIN_TIMEOUT_SECONDS) - LIMIT_MARGIN_SECONDS
    return call.ended_at - call.sent_at >= limit_seconds
