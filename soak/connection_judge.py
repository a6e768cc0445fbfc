"""Checks that entries which say that they are ready take new connections."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import pairwise

from soak.contact import CONTACT_SECONDS, Contact

__all__ = ["Attempt", "ConnectionJudge", "Readiness"]

# With so many clients that try, an entry in touch that is ready has to take one of them.
MIN_CLIENTS = 7


@dataclass(frozen=True)
class Attempt:
    """A client's attempt to open a connection to an entry, at a time on trio's clock."""

    entry: str
    client: str
    at: float
    is_taken: bool


@dataclass
class Readiness:
    """What entries answered to whether they are ready: (time, answer), by name and in order.

    The answer is None if none came in time. An entry is out after two misses.
    """

    answers: dict[str, list[tuple[float, bool | None]]] = field(default_factory=dict)

    def add(self, entry: str, at: float, is_ready: bool | None) -> None:
        """Add an answer, or that none came."""
        self.answers.setdefault(entry, []).append((at, is_ready))

    def was_ready(self, entry: str, begin: float, end: float) -> bool:
        """Return whether an entry said that it was ready from a time to a later one.

        Its last answer before must have been yes, and there must be answers in between and after
        it. It may miss single questions.
        """
        answers = self.answers.get(entry, ())
        before = [ready for at, ready in answers if at < begin and ready is not None]
        found = [ready for at, ready in answers if begin <= at <= end]
        if not before or not before[-1] or False in found or True not in found:
            return False
        misses_two = any(each is None and other is None for each, other in pairwise(found))
        return not misses_two and answers[-1][0] >= end


class ConnectionJudge:
    """Checks the attempts of a seed once it has finished.

    Args:
      attempts: all attempts of clients.
      readiness: when the entries were ready.
      contact: tells which entries were in touch.
    """

    def __init__(self, attempts: Iterable[Attempt], readiness: Readiness, contact: Contact) -> None:
        self._attempts = sorted(attempts, key=lambda each: each.at)
        self._readiness = readiness
        self._contact = contact

    def find_violations(self) -> list[str]:
        """Return the entries that took no connection for the contact time, once each."""
        violations = []
        for entry in sorted({each.entry for each in self._attempts}):
            attempts = [each for each in self._attempts if each.entry == entry]
            found = next(filter(None, map(self._find_closed, _windows(attempts))), None)
            if found:
                violations.append(found)
        return violations

    def _find_closed(self, window: Sequence[Attempt]) -> str:
        """Return a message if the attempts from the first one on show a closed entry."""
        entry, begin = window[0].entry, window[0].at
        end = begin + CONTACT_SECONDS
        clients = {each.client for each in window}
        if (
            len(clients) < MIN_CLIENTS
            or any(each.is_taken for each in window)
            or not self._readiness.was_ready(entry, begin, end)
            or not self._contact.is_in_touch(entry, begin, end)
        ):
            return ""
        return (
            f"{entry} was ready and took no connection of {len(clients)} clients"
            f" for {CONTACT_SECONDS} s from {begin:.2f} on"
        )


def _windows(attempts: Sequence[Attempt]) -> Iterable[Sequence[Attempt]]:
    """Yield the attempts of the contact time from each attempt that failed on."""
    for number, first in enumerate(attempts):
        if not first.is_taken:
            later = attempts[number:]
            yield [each for each in later if each.at <= first.at + CONTACT_SECONDS]
