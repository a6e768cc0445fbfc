"""What an upstream asks for in the head of an answer, whatever the question was."""

from dataclasses import dataclass

__all__ = ["NOTHING_ASKED", "UpstreamNotice"]


@dataclass(frozen=True)
class UpstreamNotice:
    """An upstream's wish, which holds for the process that it answers.

    `backoff` is for how long it wants no request, seconds, 0 where it asks for no such time;
    `leaving` says that it is about to end; `malformed` that it asks for something unreadable.
    """

    backoff: float = 0.0
    leaving: bool = False
    malformed: bool = False


NOTHING_ASKED = UpstreamNotice()
