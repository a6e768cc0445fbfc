"""Decides which requests begin now, which wait and in which order, and which are refused at once.

Load pattern: traffic rises by half within seconds, or a service loses upstreams under load. Each of
many processes then sees a few requests a second for too little capacity. Requests that begin
nevertheless delay the first events of others and lengthen the pauses of running streams.
"""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import floor, log2

__all__ = [
    "AccountUse",
    "Arrivals",
    "DecayingCount",
    "Limits",
    "CALLER_TIMEOUT_SECONDS",
    "Prospect",
    "RequestNeed",
    "SharedRoom",
    "Verdict",
    "VerdictKind",
    "decide",
    "rank_of",
    "service_cost",
]

# Callers give up a stream after two seconds without data; a tenth is left for delivery.
CALLER_TIMEOUT_SECONDS = 1.8
# Half-life of what an account used: as long as a usual answer takes.
USE_HALF_LIFE_SECONDS = 5.0
# Each such wait doubles the rank of a request, so that within a caller's timeout it overtakes
# requests that need a hundredth of its time.
RANK_DOUBLING_SECONDS = 0.25
# An account or size that asked for this long without being served goes first in its priority. A
# refused caller returns several times within its timeout, so one of its attempts is served.
NEGLECTED_SECONDS = 3.0
# An account or size that didn't ask for this long has left, and no longer counts as neglected.
FORGOTTEN_SECONDS = 10.0
# Bound on the accounts and sizes that are remembered, far above those of any site.
MAX_CLASSES = 1024
# Half-life of an arrival's weight in the rates: a process gets one or two requests a second.
ARRIVAL_HALF_LIFE_SECONDS = 10.0
# Priorities that, with the more urgent ones, make up less than this share of the arrivals find
# capacity even when twice as much is asked for, so their processes needn't share it out.
MAX_UNSHARED = 0.5
# Capacity for the more urgent arrivals of this time is kept free during a shortage: load reports
# are up to 0.6 s old, and all processes decide on the same ones meanwhile.
RESERVE_SECONDS = 1.0
# Largest share of the capacity that is kept free for more urgent requests.
MAX_RESERVE_SHARE = 0.5
# Share of its objective for which a first attempt waits for an upstream that refused recently; the
# rest is left for its first event.
REFUSING_WAIT_SHARE = 0.5
# Interval between two load reports; on average half of it passes until the next one.
REPORT_INTERVAL_SECONDS = 0.4
# Weight of a stream that this process sent since the last report: it stands for those that other
# processes may have sent as well, and is the inverse of its share of the traffic up to this bound.
MAX_SENT_WEIGHT = 3.0
# Processing a prompt token takes about this part of the time of an answer token.
PROMPT_TOKEN_SHARE = 0.1
LN_2 = 0.693


class VerdictKind(StrEnum):
    """What happens to a request now."""

    BEGIN = "begin"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True)
class Verdict:
    """What happens to a request now, and why.

    Attributes:
      kind: whether it begins, waits or is refused.
      why: the reason, a name for logs and counters.
      first_event: the predicted time from its arrival to its first event, seconds.
      begins_in: the predicted time until it can begin, seconds.
      delivery: the predicted time from then to its first event, seconds.
    """

    kind: VerdictKind
    why: str
    first_event: float
    begins_in: float
    delivery: float


@dataclass(frozen=True)
class SharedRoom:
    """The free capacity of a path that all processes know of and compete for.

    Each process takes its share of what a report shows, and replaces its own streams that ended.
    Otherwise all of them would take the same few free slots at the same moment.

    Attributes:
      utilization: the requests per slot as reported, without those sent since.
      capacity: how many requests fit.
      share: the process's share of the traffic.
      sent: the streams that the process sent since the report.
      ended: the streams of the process that ended since the report.
      draw: a random number from 0 to 1, the same until the next report.
    """

    utilization: float
    capacity: float
    share: float
    sent: int = 0
    ended: int = 0
    draw: float = 0.0

    @property
    def estimated_utilization(self) -> float:
        """The requests per slot, with those that all processes may have sent since the report."""
        others = min(MAX_SENT_WEIGHT, 1.0 / self.share)
        return max(0.0, self.utilization + (others * self.sent - self.ended) / self.capacity)

    def places(self, room: float) -> int:
        """Return how many requests the process may begin until the next report.

        Args:
          room: the utilization up to which they may begin.
        """
        free = self.share * (room - self.utilization) * self.capacity
        return floor(free + self.draw) + self.ended - self.sent


@dataclass(frozen=True)
class Prospect:
    """What a path offers one more request now.

    Attributes:
      first_event: the predicted time from its dispatch to its first event, seconds.
      pause: the predicted pause between events, seconds.
      idle_first_event, idle_pause: the same if nothing else ran there.
      utilization: the requests per slot, or per place in memory, of the most utilized stage.
      duration: how long a usual stream runs there, seconds.
      refusing_for: how long the path is still avoided after a refusal, seconds.
      shared: the capacity that processes compete for during a shortage, None if unknown.
      turnover: the rate at which places of this process's share become free.
    """

    first_event: float
    pause: float
    idle_first_event: float
    idle_pause: float
    utilization: float
    duration: float
    refusing_for: float = 0.0
    shared: SharedRoom | None = None
    turnover: float = 0.0


@dataclass(frozen=True)
class RequestNeed:
    """What one request needs; times in seconds.

    Attributes:
      priority: 0 is the most urgent.
      account: the client account, empty for none.
      cost: the capacity and time that it takes, see `service_cost`.
      objective: the time to the first event within which it keeps its value, 0 for none.
      caller_timeout: the time from its arrival after which its caller gives up.
      arrived_at: when it arrived.
      is_retry: whether an upstream refused it already, so that a further refusal costs a retry.
      asked_after: the time from its arrival until it asked for this place; it went by elsewhere.
    """

    priority: int
    account: str
    cost: float
    objective: float
    caller_timeout: float
    arrived_at: float
    is_retry: bool = False
    asked_after: float = 0.0

    @property
    def size(self) -> int:
        """The size class: requests of one class differ by a factor of four at most."""
        return int(log2(max(1.0, self.cost)) / 2)


@dataclass(frozen=True)
class Limits:
    """The limits for one request during a shortage or without one.

    Attributes:
      pause: the longest pause that it and running streams of its rank allow, seconds; 0 for none.
      reserve: the share of the capacity that is kept for more urgent requests.
      is_short: whether capacity is short for requests of its priority.
      ahead: how many requests of this process wait before it.
      ends_per_second: the rate at which streams of this process end.
    """

    pause: float = 0.0
    reserve: float = 0.0
    is_short: bool = False
    ahead: int = 0
    ends_per_second: float = 0.0


def service_cost(prompt_tokens: float, answer_tokens: float) -> float:
    """Return the capacity and time that a request takes, in answer tokens."""
    return max(1.0, PROMPT_TOKEN_SHARE * prompt_tokens + answer_tokens)


def decide(need: RequestNeed, prospect: Prospect, limits: Limits, now: float) -> Verdict:
    """Return whether a request begins on a path, waits for a place, or is refused at once.

    A request that is late begins anyway where it has a place: waiting wouldn't serve it sooner, and
    a late answer is worth more than none.

    Args:
      need: the request.
      prospect: what the path offers.
      limits: the limits that apply to the request.
      now: the current time.
    """
    waited = now - need.arrived_at
    missing, why = _find_missing_time(need, prospect, limits, waited)
    ends_per_second = max(limits.ends_per_second, prospect.turnover)
    ahead_for = limits.ahead / ends_per_second if limits.ahead and ends_per_second else 0.0
    begins_in = missing + ahead_for
    delivery = prospect.first_event
    first_event = waited + begins_in + delivery
    kind = VerdictKind.WAIT
    if not why and not limits.ahead:
        kind = VerdictKind.BEGIN
        is_in_time = not need.objective or first_event <= need.objective
        why = "in-time" if is_in_time else "late"
    # Where only its own prompt makes it slow, no refusal would serve it better.
    is_slow_by_load = prospect.idle_first_event <= need.caller_timeout or kind is VerdictKind.WAIT
    if first_event > need.caller_timeout and is_slow_by_load:
        kind = VerdictKind.REFUSE
        if need.asked_after + delivery > need.caller_timeout >= delivery:
            why = "refused-late"
        elif why == "late":
            why = "slow"
    return Verdict(kind, why or "behind", first_event, begins_in, delivery)


def _find_missing_time(
    need: RequestNeed, prospect: Prospect, limits: Limits, waited: float
) -> tuple[float, str]:
    """Return how long until a path has a place, and what it lacks; 0 and empty if it has one."""
    refusing_for = prospect.refusing_for
    if need.objective and not need.is_retry:
        refusing_for = min(refusing_for, REFUSING_WAIT_SHARE * need.objective - waited)
    if refusing_for > 0.0:
        return refusing_for, "refusing"
    room = 1.0 - limits.reserve
    # Streams end evenly over their duration.
    ending_in = prospect.duration / min(1.0, max(room, prospect.utilization))
    shared = prospect.shared
    if limits.is_short and shared is not None:
        # A share of a path that is full for urgent requests is no place for a lesser one.
        if shared.places(room) < 1 or prospect.utilization >= 1.0:
            excess = max(0.0, shared.utilization - room) * ending_in
            return max(REPORT_INTERVAL_SECONDS / 2, excess), "shared"
    elif prospect.utilization >= room:
        why = "reserved" if prospect.utilization < 1.0 else "full"
        return (prospect.utilization - room) * ending_in, why
    pause = limits.pause * room
    if pause and prospect.pause > pause >= prospect.idle_pause:
        return (1.0 - pause / prospect.pause) * ending_in, "pause"
    return 0.0, ""


def rank_of(
    need: RequestNeed, use: "AccountUse", now: float, delivery: float = 0.0
) -> tuple[float, ...]:
    """Return the sort key of a waiting request; the lowest one goes first.

    Of one priority, requests that can't be in time any more go last: if all waited equally long,
    all would be late during a shortage.

    Args:
      need: the request.
      use: what accounts used recently.
      now: the current time.
      delivery: the predicted time from its dispatch to its first event, seconds.
    """
    neglected_since = use.neglected_since(need, now)
    if neglected_since is not None:
        return need.priority, 0, neglected_since
    waited = max(0.0, now - need.arrived_at)
    is_late = need.objective and waited + delivery > need.objective
    weight = (
        need.cost * use.relative_use(need.account, now) * 0.5 ** (waited / RANK_DOUBLING_SECONDS)
    )
    return need.priority, 2 if is_late else 1, weight


class DecayingCount:
    """A sum whose parts lose half of their weight in a half-life."""

    def __init__(self, half_life: float) -> None:
        self._half_life = half_life
        self._sum = 0.0
        self._at = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add an amount."""
        self._sum, self._at = self.value(now) + amount, now

    def value(self, now: float) -> float:
        """Return the sum."""
        return self._sum * 0.5 ** ((now - self._at) / self._half_life) if self._sum else 0.0

    def rate(self, now: float) -> float:
        """Return the amounts per second."""
        return self.value(now) * LN_2 / self._half_life


class AccountUse:
    """What each account used recently, and which accounts and sizes were not served for long."""

    def __init__(self) -> None:
        self._use: dict[str, DecayingCount] = {}
        # For each priority and account or size: when it first asked since it was last served, and
        # when it last asked.
        self._unserved: dict[Hashable, tuple[float, float]] = {}

    def note_asked(self, need: RequestNeed, now: float) -> None:
        """Record a request that did not begin on arrival."""
        for each in _classes(need):
            since, last = self._unserved.get(each, (now, now))
            self._unserved[each] = since if now - last < FORGOTTEN_SECONDS else now, now
        while len(self._unserved) > MAX_CLASSES:
            self._unserved.pop(next(iter(self._unserved)))

    def note_begun(self, need: RequestNeed, now: float) -> None:
        """Record a request that begins."""
        for each in _classes(need):
            self._unserved.pop(each, None)
        if need.account not in self._use and len(self._use) >= MAX_CLASSES:
            self._use.pop(min(self._use, key=lambda each: self._use[each].value(now)))
        use = self._use.setdefault(need.account, DecayingCount(USE_HALF_LIFE_SECONDS))
        use.add(now, need.cost)

    def neglected_since(self, need: RequestNeed, now: float) -> float | None:
        """Return since when a request's account or size is neglected, None if neither is."""
        asked = (self._unserved.get(each, (now, now)) for each in _classes(need))
        oldest = min(
            (since for since, last in asked if now - last < FORGOTTEN_SECONDS), default=now
        )
        return oldest if now - oldest >= NEGLECTED_SECONDS else None

    def relative_use(self, account: str, now: float) -> float:
        """Return what an account used recently, relative to the mean account; at least 1."""
        used = self._use.get(account)
        if used is None:
            return 1.0
        total = sum(each.value(now) for each in self._use.values())
        return 1.0 + used.value(now) * len(self._use) / total if total else 1.0


def _classes(need: RequestNeed) -> Iterable[Hashable]:
    return (need.priority, "account", need.account), (need.priority, "size", need.size)


class Arrivals:
    """The recent rates of arrivals by priority, and the pauses that their routes allow."""

    def __init__(self) -> None:
        self._counts: dict[int, DecayingCount] = {}
        self._pauses: dict[int, float] = {}

    def note(self, priority: int, pause: float, now: float) -> None:
        """Record an arrival.

        Args:
          priority: its priority.
          pause: the longest pause of its route, seconds; 0 for none.
          now: the current time.
        """
        self._counts.setdefault(priority, DecayingCount(ARRIVAL_HALF_LIFE_SECONDS)).add(now)
        self._pauses[priority] = _shortest(self._pauses.get(priority, 0.0), pause)

    def rate(self, now: float) -> float:
        """Return the arrivals per second."""
        return sum(each.rate(now) for each in self._counts.values())

    def is_scarce(self, priority: int, now: float) -> bool:
        """Return whether a shortage concerns a priority: it has most arrivals, with those above."""
        return self._share(priority + 1, now) > MAX_UNSHARED

    def _share(self, priority: int, now: float) -> float:
        """Return the share of the arrivals that are more urgent than a priority."""
        rates = {each: count.value(now) for each, count in self._counts.items()}
        total = sum(rates.values())
        return sum(rates[each] for each in rates if each < priority) / total if total else 0.0

    def reserve(self, priority: int, duration: float, now: float) -> float:
        """Return the share of the capacity to keep for requests of more urgent priorities.

        Every process computes it from the mix of its own arrivals, so that many processes keep as
        much together as one would, without messages between them.

        Args:
          priority: the priority of the request that would take the capacity.
          duration: how long a usual stream runs, seconds.
          now: the current time.
        """
        share = self._share(priority, now)
        return min(MAX_RESERVE_SHARE, share * RESERVE_SECONDS / duration) if duration else 0.0

    def pause(self, priority: int, own: float, now: float) -> float:
        """Return the shortest pause that a request and recent ones of its rank or above allow.

        Args:
          priority: the request's priority.
          own: the longest pause of its route, seconds; 0 for none.
          now: the current time.
        """
        for each, pause in self._pauses.items():
            if each <= priority and self._counts[each].value(now) >= 0.1:
                own = _shortest(own, pause)
        return own


def _shortest(pause: float, other: float) -> float:
    return min(pause, other) if pause and other else pause or other
