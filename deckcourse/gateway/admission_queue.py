"""The waiting places of one process for the requests of one service.

Load pattern: more requests come within seconds than the upstreams can serve in time. Requests wait
here, in the order of `decisions/admission_order.py`, instead of at upstreams, where an urgent one
would stand behind all others. All state is lost with the process; callers see a closed connection.
"""

from collections.abc import Callable

import trio

from deckcourse.decisions.admission_order import (
    AccountUse,
    Arrivals,
    DecayingCount,
    Limits,
    Verdict,
    VerdictKind,
    decide,
    rank_of,
)
from deckcourse.gateway.admission_ticket import (
    Admitted,
    Offer,
    Place,
    Refused,
    Ticket,
    log_fields,
)
from deckcourse.reasons import NotRunReason

__all__ = ["AdmissionQueue"]

# Shortest time between two passes over the waiting requests: load reports come in bursts, and a
# pass takes some milliseconds on a third of a core.
PASS_INTERVAL_SECONDS = 0.02
# Longest time between two passes while requests wait: backoffs and suspicions end without an event.
RECHECK_INTERVAL_SECONDS = 0.25
# Waiting requests without a place of which a pass looks for one, since each search takes time.
MAX_UNPLACED = 3
# How long a shortage counts after its last sign: a few rounds of load reports.
SHORTAGE_SECONDS = 2.0
# Bound on the bodies of all waiting requests: a twentieth of the memory of the smallest process.
MAX_WAITING_BYTES = 8 * 1024**2
# Half-life of the rate at which streams end.
ENDS_HALF_LIFE_SECONDS = 5.0
# Retry-after value of a request that waits when the process stops: another process takes it.
STOPPING_RETRY_AFTER_SECONDS = 0.1


class AdmissionQueue:
    """Decides which requests of one service begin in this process, and holds those that wait.

    Args:
      service: the name of the service.
      clock: returns seconds on trio's clock.
      max_waiting: returns how many requests may wait.
      note_sent: called with the first upstream of a path that a request begins on.
      call_at_next_change: registers a function that is called at the next change of upstreams.
      count: adds to a counter by name.
      gauge: sets a gauge by name.
      log: writes the decision log.
    """

    def __init__(
        self,
        service: str,
        clock: Callable[[], float],
        max_waiting: Callable[[], int],
        note_sent: Callable[[str], None],
        call_at_next_change: Callable[[Callable[[], object]], None],
        count: Callable[[str], None],
        gauge: Callable[[str, float], None],
        log: Callable[..., None],
    ) -> None:
        self._service = service
        self._clock = clock
        self._max_waiting = max_waiting
        self._note_sent = note_sent
        self._call_at_next_change = call_at_next_change
        self._count = count
        self._gauge = gauge
        self._log = log
        # In order of arrival.
        self._waiting: dict[Ticket, None] = {}
        self._use = AccountUse()
        self._arrivals = Arrivals()
        self._ends = DecayingCount(ENDS_HALF_LIFE_SECONDS)
        self._short_until = float("-inf")
        self._stopping = False
        self._room = trio.Event()

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    def note_arrival(self, priority: int, max_pause: float) -> None:
        """Record that a request arrived."""
        self._arrivals.note(priority, max_pause, self._clock())

    @property
    def arrivals_per_second(self) -> float:
        """The recent rate of arrivals."""
        return self._arrivals.rate(self._clock())

    def note_shortage(self) -> None:
        """Record a sign that capacity is short."""
        self._short_until = self._clock() + SHORTAGE_SECONDS

    def note_end(self) -> None:
        """Record that a stream of this process ended."""
        self._ends.add(self._clock())
        self.note_room()

    def note_room(self) -> None:
        """Record that a waiting request may find a place: a stream ended, or upstreams changed."""
        if self._waiting:
            self._room.set()

    def stop(self) -> None:
        """Let waiting requests begin where they can now, and refuse the others."""
        self._stopping = True
        for ticket in self._ranked(self._clock()):
            self._settle(ticket, self._clock())
        for ticket in self._waiting:
            if ticket.outcome is None:
                self._refuse(ticket, NotRunReason.STOPPING, "stopping")

    async def enter(self, ticket: Ticket) -> Admitted | Refused:
        """Return once a request may begin or is refused; without a suspension if that is known."""
        now = self._clock()
        self._settle(ticket, now, self._count_ahead(ticket, now))
        if ticket.outcome is not None:
            self._report(ticket, None)
            return ticket.outcome
        self._use.note_asked(ticket.need, now)
        self.note_shortage()
        return await self._wait(ticket)

    async def pause(self, ticket: Ticket, seconds: float) -> Refused | None:
        """Hold a request that waits for a retry; return its refusal if it is refused meanwhile."""
        ticket.is_paused = True
        with trio.move_on_after(seconds):
            outcome = await self._wait(ticket)
            return outcome if isinstance(outcome, Refused) else None
        return None

    def leave(self, ticket: Ticket) -> None:
        """Give up a request's place in the queue."""
        if ticket in self._waiting:
            del self._waiting[ticket]
            self._update_gauges()
            self.note_room()

    async def _wait(self, ticket: Ticket) -> Admitted | Refused:
        entered_at = self._clock()
        self._waiting[ticket] = None
        self._room.set()
        self._update_gauges()
        try:
            self._refuse_excess()
            while ticket.outcome is None:
                with trio.move_on_at(self._latest_begin(ticket)):
                    await ticket.decided.wait()
                if ticket.outcome is None:
                    self._refuse(ticket, NotRunReason.OVERLOADED, "waited")
        finally:
            self.leave(ticket)
            if not ticket.is_paused or ticket.outcome is not None:
                self._report(ticket, entered_at)
        return ticket.outcome

    def _latest_begin(self, ticket: Ticket) -> float:
        """Return when a request must begin for its first event to come in time for its caller."""
        need, verdict = ticket.need, ticket.verdict
        if verdict is None:
            return need.arrived_at + need.caller_timeout
        return need.arrived_at + need.caller_timeout - verdict.delivery

    async def run(self) -> None:
        """Let waiting requests begin when there is room, until cancelled."""
        while True:
            if not self._waiting:
                self._room = trio.Event()
                # Set as soon as the first request waits.
                await self._room.wait()
            self._call_at_next_change(self.note_room)
            with trio.move_on_after(RECHECK_INTERVAL_SECONDS):
                await self._room.wait()
            self._room = trio.Event()
            self._serve()
            await trio.sleep(PASS_INTERVAL_SECONDS)

    def _serve(self) -> None:
        """Let waiting requests begin in their order, as far as there is room.

        A request that finds no place holds back all of lower priority, and those of its own if it
        was neglected. Others of its priority may fit where it doesn't.
        """
        now = self._clock()
        unplaced: Ticket | None = None
        count = 0
        for ticket in self._ranked(now):
            if unplaced is not None and (
                ticket.need.priority > unplaced.need.priority or count >= MAX_UNPLACED
            ):
                break
            self._settle(ticket, now)
            if ticket.outcome is None:
                unplaced = ticket
                count = MAX_UNPLACED if self._is_neglected(ticket, now) else count + 1

    def _is_neglected(self, ticket: Ticket, now: float) -> bool:
        return self._use.neglected_since(ticket.need, now) is not None

    def _settle(self, ticket: Ticket, now: float, ahead: int = 0) -> None:
        """Decide on a request; it keeps waiting if its outcome stays unset.

        Args:
          ticket: the request.
          now: the current time.
          ahead: how many requests go before it.
        """
        if ticket.outcome is not None:
            return
        ticket.rank = self._rank(ticket, now)
        best: tuple[Verdict, Offer] | None = None
        for place in ticket.find_places():
            limits = self._limits(ticket, place, ahead)
            verdict = decide(ticket.need, place.prospect, limits, now)
            if best is None or _is_better(verdict, best[0]):
                best = verdict, Offer(place, limits)
            if place.prospect.utilization >= 1.0:
                self.note_shortage()
            if ahead or (verdict.kind is VerdictKind.BEGIN and verdict.why != "late"):
                break
        if best is None:
            ticket.offer = None
            self._refuse(ticket, NotRunReason.NO_ROUTE, "no-path")
            return
        ticket.verdict, ticket.offer = best
        if ticket.verdict.kind is VerdictKind.BEGIN:
            self._begin(ticket, ticket.offer.place, now)
        elif ticket.verdict.kind is VerdictKind.REFUSE:
            why = ticket.verdict.why
            if why == "refused-late":
                # The time went by at an upstream, which says nothing about the room.
                self._refuse(ticket, NotRunReason.UPSTREAM_REFUSED, why)
                return
            is_refusing = why == "refusing"
            self._refuse(
                ticket,
                NotRunReason.UPSTREAM_REFUSED if is_refusing else NotRunReason.OVERLOADED,
                why,
            )
            self.note_shortage()
        elif self._stopping:
            self._refuse(ticket, NotRunReason.STOPPING, "stopping")

    def _limits(self, ticket: Ticket, place: Place, ahead: int) -> Limits:
        now, priority = self._clock(), ticket.need.priority
        reserve = 0.0
        is_short = now < self._short_until
        if is_short:
            reserve = self._arrivals.reserve(priority, place.prospect.duration, now)
        return Limits(
            self._arrivals.pause(priority, ticket.max_pause, now),
            reserve,
            is_short and self._arrivals.is_scarce(priority, now),
            ahead,
            self._ends.rate(now),
        )

    def _begin(self, ticket: Ticket, place: Place, now: float) -> None:
        self._use.note_begun(ticket.need, now)
        self._note_sent(place.path.stages[0].instance)
        ticket.outcome = Admitted(place.path)
        ticket.decided.set()

    def _refuse(self, ticket: Ticket, reason: NotRunReason, why: str) -> None:
        begins_in = ticket.verdict.begins_in if ticket.verdict is not None else 0.0
        if reason is NotRunReason.STOPPING:
            begins_in = STOPPING_RETRY_AFTER_SECONDS
        if reason is NotRunReason.OVERLOADED:
            self._use.note_asked(ticket.need, self._clock())
        ticket.outcome = Refused(reason, why, begins_in)
        ticket.decided.set()

    def _ranked(self, now: float) -> list[Ticket]:
        """Return the requests that wait for a place, those that go first at the start."""
        waiting = [each for each in self._waiting if not each.is_paused and each.outcome is None]
        return sorted(waiting, key=lambda each: self._rank(each, now))

    def _rank(self, ticket: Ticket, now: float) -> tuple[float, ...]:
        delivery = ticket.verdict.delivery if ticket.verdict is not None else 0.0
        return rank_of(ticket.need, self._use, now, delivery)

    def _count_ahead(self, ticket: Ticket, now: float) -> int:
        if not self._waiting:
            return 0
        rank = self._rank(ticket, now)
        return sum(
            self._rank(each, now) <= rank
            for each in self._waiting
            if each is not ticket and not each.is_paused and each.outcome is None
        )

    def _refuse_excess(self) -> None:
        """Refuse the requests of the lowest rank while the queue exceeds its bounds."""
        now = self._clock()
        waiting = [each for each in self._waiting if each.outcome is None]
        size = sum(each.body_bytes for each in waiting)
        if len(waiting) <= self._max_waiting() and size <= MAX_WAITING_BYTES:
            return
        waiting.sort(key=lambda each: self._rank(each, now))
        while waiting and (len(waiting) > self._max_waiting() or size > MAX_WAITING_BYTES):
            last = waiting.pop()
            size -= last.body_bytes
            self._refuse(last, NotRunReason.OVERLOADED, "queue-full")

    def _update_gauges(self) -> None:
        self._gauge(f"admission.waiting.{self._service}", len(self._waiting))
        size = sum(each.body_bytes for each in self._waiting)
        self._gauge(f"admission.bytes.{self._service}", size)

    def _report(self, ticket: Ticket, entered_at: float | None) -> None:
        """Count how a request left; log it if it or others waited, or if it was refused.

        Args:
          ticket: the request.
          entered_at: when it began to wait, None if it didn't.
        """
        outcome, verdict = ticket.outcome, ticket.verdict
        if outcome is None:
            result, why = "left", "caller-gone"
        elif isinstance(outcome, Refused):
            result, why = "refused", outcome.why
        else:
            result, why = "begun", verdict.why
        self._count(f"admission.{result}.{why}")
        if result == "begun" and entered_at is None and not self._waiting:
            return
        now = self._clock()
        waited = now - entered_at if entered_at is not None else 0.0
        self._log(
            "admission",
            request=ticket.request_id,
            result=result,
            why=why,
            waited_ms=round(waited * 1000),
            **log_fields(ticket, now, self._waiting),
        )


def _is_better(verdict: Verdict, other: Verdict) -> bool:
    order = list(VerdictKind)
    return (order.index(verdict.kind), verdict.first_event) < (
        order.index(other.kind),
        other.first_event,
    )
