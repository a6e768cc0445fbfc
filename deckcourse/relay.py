"""The relay of one answer: each token once, in order, with the right trace, to the caller."""

from dataclasses import dataclass

from deckcourse.engine import FinishFrame, Frame, TokenFrame

__all__ = ["Relay", "RelayFault"]

# How many tokens may wait for one that is missing before the attempt counts as broken.
REORDER_WINDOW = 64


@dataclass(frozen=True)
class RelayFault:
    """A frame that no correct attempt sends; the attempt is given up."""

    message: str


class Relay:
    """Appends only the next token; holds early ones; drops duplicates and older attempts."""

    def __init__(self, max_tokens: int) -> None:
        self._max_tokens = max_tokens
        self._attempt = 0
        self._trace = ""
        self._early: dict[int, TokenFrame] = {}
        self._tokens: list[int] = []
        self._count: int | None = None
        self._fault: RelayFault | None = None

    @property
    def fault(self) -> RelayFault | None:
        """What is wrong with the attempt, None while nothing is."""
        return self._fault

    @property
    def delivered(self) -> tuple[int, ...]:
        """The tokens that have gone to the caller."""
        return tuple(self._tokens)

    @property
    def finished(self) -> bool:
        """Whether the finish frame and every token before it are here."""
        return self._count == len(self._tokens)

    def begin(self, attempt: int, trace: str) -> None:
        """Start an attempt; whatever older ones still send is dropped from now on."""
        self._attempt = attempt
        self._trace = trace
        self._early.clear()
        self._count = None
        self._fault = None

    def accept(self, frames: tuple[Frame, ...]) -> list[TokenFrame]:
        """Take frames as they come; a wrong one sets `fault` and ends the attempt.

        Returns:
          The tokens that are now next in order; they count as delivered.
        """
        ready: list[TokenFrame] = []
        for frame in frames:
            if frame.attempt != self._attempt:
                continue
            self._fault = self._take(frame, ready)
            if self._fault is not None:
                break
        return ready

    def _take(self, frame: Frame, ready: list[TokenFrame]) -> RelayFault | None:
        if isinstance(frame, FinishFrame):
            return self._finish(frame)
        if frame.index < len(self._tokens):
            return None
        if frame.trace != self._trace:
            return RelayFault(f"token {frame.index} passed {frame.trace}, not {self._trace}")
        if frame.index >= self._max_tokens:
            return RelayFault(f"token {frame.index} is past the {self._max_tokens} asked for")
        if frame.index > len(self._tokens):
            return self._hold(frame)
        self._append(frame, ready)
        return None

    def _append(self, frame: TokenFrame, ready: list[TokenFrame]) -> None:
        following: TokenFrame | None = frame
        while following is not None:
            self._tokens.append(following.token)
            ready.append(following)
            following = self._early.pop(len(self._tokens), None)

    def _hold(self, frame: TokenFrame) -> RelayFault | None:
        self._early.setdefault(frame.index, frame)
        if len(self._early) > REORDER_WINDOW:
            return RelayFault(f"token {len(self._tokens)} is missing, {REORDER_WINDOW} wait for it")
        return None

    def _finish(self, frame: FinishFrame) -> RelayFault | None:
        if frame.count < len(self._tokens):
            return RelayFault(f"finish after {frame.count} tokens, {len(self._tokens)} were sent")
        self._count = frame.count
        return None
