"""Replays traffic against the admission queues of several processes and one stand-in upstream.

All processes decide on the same load report, which is up to 0.4 s old, as on a real site.
"""

from dataclasses import dataclass
from random import Random

import trio
from trio.testing import MockClock

from deckcourse.decisions.admission_order import Prospect, RequestNeed, SharedRoom
from deckcourse.gateway.admission_queue import AdmissionQueue
from deckcourse.gateway.admission_ticket import Admitted, Place, Ticket
from deckcourse.gateway.return_schedule import ReturnSchedule
from deckcourse.layers.paths import LayerPath, PathStage

PATH = LayerPath((PathStage("u", "u:1", 0, 1),), "x", 1.0)
SLOTS = 240
DURATION = 4.0
FIRST_EVENT = 0.15
REPORT_SECONDS = 0.4
CALLER_TIMEOUT = 1.8


@dataclass
class Outcome:
    """One request: when it was sent, when its first event came, and how often it was refused."""

    priority: int
    account: str
    sent_at: float
    first_event_after: float = float("inf")
    refusals: int = 0
    returns_at: tuple = ()


class Process:
    """One process with its queue and its view of the upstream."""

    def __init__(self, replay):
        self.replay = replay
        self.sent = self.ended = self.running = 0
        self.draw = 0.0
        self.schedule = ReturnSchedule(trio.current_time)
        self.queue = AdmissionQueue(
            "llm",
            trio.current_time,
            lambda: 64,
            self.note_sent,
            lambda callback: None,
            lambda name: None,
            lambda name, value: None,
            lambda *args, **fields: None,
        )

    def note_sent(self, instance):
        self.sent += 1

    def find_places(self):
        reported = self.replay.reported / SLOTS
        demand = self.queue.arrivals_per_second * DURATION
        measured = (self.running + 0.5) / (max(self.running, self.replay.reported) + 10.0)
        share = max(measured, min(1.0, demand / max(1.0, self.replay.reported)))
        shared = SharedRoom(reported, SLOTS, share, self.sent, self.ended, self.draw)
        times = (FIRST_EVENT, 0.05, FIRST_EVENT, 0.05)
        used = shared.estimated_utilization
        yield Place(PATH, Prospect(*times, used, DURATION, shared=shared))

    async def ask(self, outcome, cost, returns):
        while True:
            arrived_at = trio.current_time()
            need = RequestNeed(
                outcome.priority, outcome.account, cost, 0.5, CALLER_TIMEOUT, arrived_at
            )
            self.queue.note_arrival(outcome.priority, 0.25)
            decision = await self.queue.enter(Ticket("r", need, 0.25, 100, self.find_places))
            if isinstance(decision, Admitted):
                break
            outcome.refusals += 1
            seconds = self.schedule.take_ranked_slot(
                outcome.priority, max(0.25, decision.retry_after), self.replay.random.random()
            )
            outcome.returns_at += (trio.current_time() + seconds,)
            if not returns or outcome.refusals == 3:
                return
            await trio.sleep(seconds)
        self.replay.running += 1
        self.running += 1
        async with self.replay.limiter:
            await trio.sleep(FIRST_EVENT)
            outcome.first_event_after = trio.current_time() - outcome.sent_at
            await trio.sleep(DURATION)
        self.replay.running -= 1
        self.running -= 1
        self.ended += 1
        self.schedule.note_answered()
        self.queue.note_end()


class Replay:
    """Traffic by phases: (seconds, requests a second by priority)."""

    def __init__(self, processes, phases, returns=False, seed=1):
        self.random = Random(seed)
        self.running = self.reported = 0
        self.outcomes = []
        self._phases = phases
        self._returns = returns
        self.count = processes
        trio.run(self._run, clock=MockClock(autojump_threshold=0))

    async def _run(self):
        self.limiter = trio.CapacityLimiter(SLOTS)
        processes = [Process(self) for _ in range(self.count)]
        async with trio.open_nursery() as background, trio.open_nursery() as nursery:
            for each in processes:
                background.start_soon(each.queue.run)
            background.start_soon(self._report, processes)
            begins_at = 0.0
            for seconds, rates in self._phases:
                total = sum(rates)
                at = begins_at
                while (at := at + self.random.expovariate(total)) < begins_at + seconds:
                    await trio.sleep_until(at)
                    priority = self.random.choices(range(len(rates)), rates)[0]
                    outcome = Outcome(priority, self.random.choice("ab"), at)
                    self.outcomes.append(outcome)
                    ask = self.random.choice(processes).ask
                    nursery.start_soon(ask, outcome, self.random.choice((100, 400)), self._returns)
                begins_at += seconds
            nursery.start_soon(trio.sleep, 0)
            background.start_soon(self._end_after, nursery, background)

    async def _end_after(self, nursery, background):
        while nursery.child_tasks:
            await trio.sleep(0.1)
        background.cancel_scope.cancel()

    async def _report(self, processes):
        while True:
            self.reported = self.running
            for each in processes:
                each.sent = each.ended = 0
                each.draw = self.random.random()
                each.queue.note_room()
            await trio.sleep(REPORT_SECONDS)

    def in_time(self, begin, end, priority=None):
        """Return the share of the requests sent from `begin` to `end` that were in time."""
        sent = self._sent(begin, end, priority)
        return sum(each.first_event_after <= 0.5 for each in sent) / max(1, len(sent))

    def refusals(self, begin, end):
        """Return how often requests sent from `begin` to `end` were refused."""
        return sum(each.refusals for each in self._sent(begin, end))

    def _sent(self, begin, end, priority=None):
        return [
            each
            for each in self.outcomes
            if begin <= each.sent_at < end and priority in (None, each.priority)
        ]
