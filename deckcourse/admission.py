"""Admission under load: what may run now, what waits, and what is refused at once.

Little's law gives the streams that saturate a model's pipelines: its planned flow times the
time between tokens of an unloaded pipeline. An entry runs its part of these; the rest waits in
order of worth for each token, divided among client accounts by what each used lately. What can't
start before its deadline is refused on arrival, with the time in which the queue drains.
"""

from dataclasses import dataclass

import trio

from deckcourse.outcomes import NotRun
from deckcourse.reasons import NotRunReason

__all__ = ["Admission", "AdmissionRequest", "Capacity"]

HEADROOM = 1.5
LEAST_STREAMS = 1
LONGEST_QUEUE = 256
# An account's use counts half after this long.
USE_HALF_LIFE_SECONDS = 2.0
# The part of a request's deadline that its answer itself needs is kept out of the waiting time.
START_MARGIN = 1.0


@dataclass(frozen=True)
class Capacity:
    """What one entry may use of a model: tokens a second, and the unloaded gap in seconds."""

    tokens_per_second: float
    token_gap: float

    @property
    def streams(self) -> int:
        """How many streams saturate it."""
        return max(LEAST_STREAMS, round(HEADROOM * self.tokens_per_second * self.token_gap))


@dataclass(frozen=True)
class AdmissionRequest:
    """What asks to be admitted; `deadline` is that of the whole answer."""

    account: str
    model: str
    tokens: int
    worth: float
    deadline: float


class _Waiting:
    def __init__(self, request: AdmissionRequest) -> None:
        self.request = request
        self.settled = trio.Event()
        self.refusal: NotRun | None = None


class Admission:
    """The running and waiting requests of one model at one entry."""

    def __init__(self, capacity: Capacity, fair: bool = True) -> None:
        self._capacity = capacity
        self._fair = fair
        self._running = 0
        self._waiting: list[_Waiting] = []
        self._used: dict[str, tuple[float, float]] = {}

    @property
    def running(self) -> int:
        """How many requests run."""
        return self._running

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    def set_capacity(self, capacity: Capacity) -> None:
        """Change what may run from now on."""
        self._capacity = capacity
        self._start_waiting()

    async def enter(self, request: AdmissionRequest) -> NotRun | None:
        """Wait for a place.

        Returns:
          None when the request may run, and `leave` must be called after it; else the refusal.
        """
        now = trio.current_time()
        refusal = self._refuse_on_arrival(request, now)
        if refusal is not None:
            return refusal
        waiting = _Waiting(request)
        self._waiting.append(waiting)
        self._start_waiting()
        try:
            with trio.move_on_at(self._latest_start(request)):
                await waiting.settled.wait()
        except trio.Cancelled:
            self._withdraw(waiting)
            raise
        if not waiting.settled.is_set():
            self._waiting.remove(waiting)
            return self._refusal(NotRunReason.DEADLINE, "it could not start in time")
        return waiting.refusal

    def leave(self) -> None:
        """Give the place back."""
        self._running -= 1
        self._start_waiting()

    def _withdraw(self, waiting: _Waiting) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
        elif waiting.refusal is None:
            self.leave()

    def _refuse_on_arrival(self, request: AdmissionRequest, now: float) -> NotRun | None:
        if self._latest_start(request) < now:
            return self._refusal(NotRunReason.DEADLINE, "its answer takes longer than its deadline")
        if self._running < self._capacity.streams:
            return None
        ahead = sum(
            each.request.tokens
            for each in self._waiting
            if self._rank(each.request, now) >= self._rank(request, now)
        )
        start = now + ahead / max(self._capacity.tokens_per_second, 1e-9)
        if start > self._latest_start(request):
            return self._refusal(NotRunReason.OVERLOADED, "the queue is longer than its deadline")
        if len(self._waiting) >= LONGEST_QUEUE:
            return self._make_room(request, now)
        return None

    def _make_room(self, request: AdmissionRequest, now: float) -> NotRun | None:
        """Refuse the least of a full queue: a waiting request, told at once, or this one."""
        least = min(self._waiting, key=lambda each: self._rank(each.request, now))
        refusal = self._refusal(NotRunReason.OVERLOADED, "the queue is full")
        if self._rank(least.request, now) >= self._rank(request, now):
            return refusal
        self._waiting.remove(least)
        least.refusal = refusal
        least.settled.set()
        return None

    def _latest_start(self, request: AdmissionRequest) -> float:
        return request.deadline - START_MARGIN * request.tokens * self._capacity.token_gap

    def _refusal(self, reason: NotRunReason, message: str) -> NotRun:
        queued = sum(each.request.tokens for each in self._waiting)
        drain = queued / max(self._capacity.tokens_per_second, 1e-9)
        return NotRun(reason, message, retry_after=min(max(drain, 1.0), 60.0))

    def _rank(self, request: AdmissionRequest, now: float) -> float:
        density = request.worth / max(request.tokens, 1)
        if not self._fair:
            return density
        return density / (1.0 + self._use(request.account, now))

    def _use(self, account: str, now: float) -> float:
        """Return the account's recent use, in seconds of the whole capacity."""
        tokens, at = self._used.get(account, (0.0, now))
        decayed = tokens * 0.5 ** ((now - at) / USE_HALF_LIFE_SECONDS)
        return decayed / max(self._capacity.tokens_per_second, 1e-9)

    def _start_waiting(self) -> None:
        now = trio.current_time()
        while self._waiting and self._running < self._capacity.streams:
            best = max(self._waiting, key=lambda each: self._rank(each.request, now))
            self._waiting.remove(best)
            self._running += 1
            self._note_use(best.request, now)
            best.settled.set()

    def _note_use(self, request: AdmissionRequest, now: float) -> None:
        tokens, at = self._used.get(request.account, (0.0, now))
        decayed = tokens * 0.5 ** ((now - at) / USE_HALF_LIFE_SECONDS)
        self._used[request.account] = (decayed + request.tokens, now)
