"""A request's decisions, gathered from the logs of several machines and put in order.

Reads lines as processes write them; what stands before a line's JSON (a machine's name, a time) is
passed over, and so are lines that are none.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

__all__ = ["Decision", "Explanation", "explain"]

# Machines may differ on the time of day by a few seconds: what changed so long before a request's
# first line, by the writer's own clock, may have decided it.
CLOCK_SECONDS = 5.0
# Decisions that concern every request of a process.
SHARED = frozenset(
    {
        "accept-failed",
        "configuration",
        "connection-failed",
        "fault",
        "first-upstream-lost",
        "log-bound",
        "malformed",
        "order",
        "order-withheld",
        "paused",
        "plan",
        "plan-lost",
        "plan-unanswered",
        "pulse",
        "row-lapsed",
        "settings",
        "settings-refused",
        "signal",
        "stall",
        "start",
        "stopping",
        "store-lost",
        "store-regained",
        "suspicion-ended",
        "upstream-backoff",
        "upstream-gone",
        "upstream-leaving",
        "upstream-restarted",
    }
)
_HIDDEN = frozenset({"message_type", "node", "at", "request"})


@dataclass(frozen=True)
class Decision:
    """One line of a log; `at` is the time of day of the machine that wrote it, seconds."""

    node: str
    at: float
    kind: str
    inputs: dict[str, Any]

    def __str__(self) -> str:
        inputs = " ".join(f"{name}={value}" for name, value in self.inputs.items())
        return f"{self.at:.3f} {self.node} {self.kind} {inputs}".rstrip()


@dataclass(frozen=True)
class Explanation:
    """What the logs tell of a request.

    Attributes:
      decisions: the request's own, in order.
      surroundings: what the same machines decided for all their requests around that time.
      missing: what the logs given lack.
    """

    decisions: tuple[Decision, ...]
    surroundings: tuple[Decision, ...]
    missing: tuple[str, ...]


def explain(request: str, lines: Iterable[str]) -> Explanation:
    """Return the decisions about a request.

    Args:
      request: its id.
      lines: the logs of one or more machines, in any order.
    """
    every = list(_decisions(lines))
    own = sorted((each for each, name in every if name == request), key=lambda each: each.at)
    if not own:
        left_out = sum(each.kind == "log-bound" for each, _ in every)
        hint = f"; {left_out} lines tell that others were left out" if left_out else ""
        missing = f"no line names the request {request}{hint}; it went well, or other logs have it"
        return Explanation((), (), (missing,))
    nodes = {each.node for each in own}
    first, last = own[0].at - CLOCK_SECONDS, own[-1].at
    around = sorted(
        (
            each
            for each, name in every
            if not name and each.node in nodes and each.kind in SHARED and first <= each.at <= last
        ),
        key=lambda each: each.at,
    )
    return Explanation(tuple(own), tuple(around), tuple(_missing(own, around)))


def _missing(own: list[Decision], around: list[Decision]) -> Iterator[str]:
    if not any(each.kind in ("refused", "unknown") for each in own):
        yield "its end: it was answered, or the line was left out"
    for each in around:
        if each.kind == "log-bound":
            yield f"{each.node} left lines out: {each.inputs.get('left_out')}"


def _decisions(lines: Iterable[str]) -> Iterator[tuple[Decision, str]]:
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            found = msgspec.json.decode(line[start:].strip())
        except msgspec.DecodeError:
            continue
        if not isinstance(found, dict) or "message_type" not in found:
            continue
        inputs = {name: value for name, value in found.items() if name not in _HIDDEN}
        decision = Decision(
            str(found.get("node", "?")),
            float(found.get("at", 0.0)),
            str(found["message_type"]),
            inputs,
        )
        yield decision, str(found.get("request", ""))
