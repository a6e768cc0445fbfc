"""The decisions about one request, collected from the logs of several machines and sorted by time.

Text before the JSON object of a line (such as a host name or a timestamp) is ignored, and so are
lines without one.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

__all__ = ["Decision", "Explanation", "explain"]

# Decisions of the same machines within this time before a request's first line may have influenced
# it, since the clocks of machines may differ by a few seconds.
CLOCK_TOLERANCE_SECONDS = 5.0
# Kinds of decisions that concern every request of a process.
SHARED = frozenset(
    {
        "accept-failed",
        "configuration",
        "connection-ended",
        "connection-failed",
        "connection-watch",
        "domain-left",
        "domain-returned",
        "fault",
        "first-upstream-lost",
        "log-bound",
        "loss-notice",
        "malformed",
        "order",
        "order-withheld",
        "paused",
        "placement-demand",
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
        "upstream-checked",
        "upstream-gone",
        "upstream-leaving",
        "upstream-restarted",
    }
)
_COMMON_FIELDS = frozenset({"message_type", "node", "at", "request"})


@dataclass(frozen=True)
class Decision:
    """One line of a log; `at` is the wall-clock time of the machine that wrote it, Unix seconds."""

    node: str
    at: float
    kind: str
    inputs: dict[str, Any]

    def __str__(self) -> str:
        inputs = " ".join(f"{name}={value}" for name, value in self.inputs.items())
        return f"{self.at:.3f} {self.node} {self.kind} {inputs}".rstrip()


@dataclass(frozen=True)
class Explanation:
    """What the logs say about a request.

    Attributes:
      decisions: the decisions about the request itself, sorted by time.
      surroundings: decisions of the same machines at that time that concern all their requests.
      missing: descriptions of what the given logs lack.
    """

    decisions: tuple[Decision, ...]
    surroundings: tuple[Decision, ...]
    missing: tuple[str, ...]


def explain(request: str, lines: Iterable[str]) -> Explanation:
    """Return the decisions about a request.

    Args:
      request: the request's id.
      lines: the lines of the logs of one or more machines, in any order.
    """
    entries = list(_parse(lines))
    own = sorted((each for each, name in entries if name == request), key=lambda each: each.at)
    if not own:
        summaries = sum(each.kind == "log-bound" for each, _ in entries)
        hint = f"; {summaries} lines report dropped lines" if summaries else ""
        missing = f"no line names the request {request}{hint}; it succeeded, or other logs have it"
        return Explanation((), (), (missing,))
    nodes = {each.node for each in own}
    first, last = own[0].at - CLOCK_TOLERANCE_SECONDS, own[-1].at
    shared = sorted(
        (
            each
            for each, name in entries
            if not name and each.node in nodes and each.kind in SHARED and first <= each.at <= last
        ),
        key=lambda each: each.at,
    )
    return Explanation(tuple(own), tuple(shared), tuple(_missing(own, shared)))


def _missing(own: list[Decision], shared: list[Decision]) -> Iterator[str]:
    if not any(each.kind in ("refused", "unknown") for each in own):
        yield "the request's end: it was answered, or the line was dropped"
    for each in shared:
        if each.kind == "log-bound":
            yield f"{each.node} dropped lines: {each.inputs.get('left_out')}"


def _parse(lines: Iterable[str]) -> Iterator[tuple[Decision, str]]:
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:].strip())
        except msgspec.DecodeError:
            continue
        if not isinstance(fields, dict) or "message_type" not in fields:
            continue
        inputs = {name: value for name, value in fields.items() if name not in _COMMON_FIELDS}
        decision = Decision(
            str(fields.get("node", "?")),
            float(fields.get("at", 0.0)),
            str(fields["message_type"]),
            inputs,
        )
        yield decision, str(fields.get("request", ""))
