"""A request that wants to begin, what it is offered, and how that is logged."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import ceil

import trio

from deckcourse.decisions.admission_order import Limits, Prospect, RequestNeed, Verdict
from deckcourse.layers.paths import LayerPath
from deckcourse.reasons import NotRunReason

__all__ = ["Admitted", "Offer", "Place", "Refused", "Ticket", "log_fields"]


@dataclass(frozen=True)
class Place:
    """A path and what it offers a request."""

    path: LayerPath
    prospect: Prospect


@dataclass(frozen=True)
class Admitted:
    """The request begins on this path."""

    path: LayerPath


@dataclass(frozen=True)
class Refused:
    """The request is refused; `retry_after` is when capacity for it is predicted, seconds.

    `why` names what was missing.
    """

    reason: NotRunReason
    why: str
    retry_after: float


@dataclass(frozen=True)
class Offer:
    """A place and the limits that applied to a request there."""

    place: Place
    limits: Limits


@dataclass(eq=False)
class Ticket:
    """One request that wants to begin.

    Attributes:
      request_id: the request.
      need: what it needs.
      max_pause: the longest pause of its route, seconds; 0 for none.
      body_bytes: the size of its body.
      find_places: returns the places that it may take, the preferred one first.
      is_paused: whether it waits for a retry, not for a place.
      offer: what the latest decision on it was based on, None if it had no path.
    """

    request_id: str
    need: RequestNeed
    max_pause: float
    body_bytes: int
    find_places: Callable[[], Iterable[Place]]
    is_paused: bool = False
    outcome: Admitted | Refused | None = field(default=None, init=False)
    verdict: Verdict | None = field(default=None, init=False)
    offer: Offer | None = field(default=None, init=False)
    rank: tuple[float, ...] = field(default=(), init=False)
    decided: trio.Event = field(default_factory=trio.Event, init=False)


def log_fields(ticket: Ticket, now: float, others: Iterable[Ticket]) -> dict[str, object]:
    """Return what a decision on a request was based on, for the decision log.

    Args:
      ticket: the request.
      now: the current time.
      others: the requests that wait.
    """
    need, verdict, offer = ticket.need, ticket.verdict, ticket.offer
    waiting = Counter(each.need.priority for each in others if each is not ticket)
    fields: dict[str, object] = {
        "priority": need.priority,
        "rank": [round(each, 2) for each in ticket.rank],
        "retry": need.is_retry,
        "age_ms": round((now - need.arrived_at) * 1000),
        "allowed_ms": round(need.caller_timeout * 1000),
        "first_event_ms": ceil(verdict.first_event * 1000) if verdict is not None else None,
        "begins_in_ms": ceil(verdict.begins_in * 1000) if verdict is not None else None,
        "waiting": sum(waiting.values()),
        "waiting_by_priority": dict(sorted(waiting.items())),
    }
    if offer is not None:
        fields |= _offer_fields(offer)
    return fields


def _offer_fields(offer: Offer) -> dict[str, object]:
    prospect, limits = offer.place.prospect, offer.limits
    shared = prospect.shared
    return {
        "instance": offer.place.path.stages[0].instance,
        "utilization": round(prospect.utilization, 2),
        "reserve": round(limits.reserve, 2),
        "ahead": limits.ahead,
        "must_share": limits.is_short,
        "refusing_ms": ceil(prospect.refusing_for * 1000),
        "free_share": shared.places(1.0 - limits.reserve) if shared is not None else None,
    }
