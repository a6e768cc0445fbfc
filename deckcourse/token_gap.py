"""The deadline for the next token, from the stream's own recent gaps between tokens."""

__all__ = ["TokenGap"]

# As in TCP's retransmission timer: a smoothed mean plus four smoothed deviations.
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0
SHORTEST_SECONDS = 0.25
FIRST_TOKEN_SECONDS = 3.0
LONGEST_SECONDS = 3.0


class TokenGap:
    """Learns the gap between tokens of one model and gives the next deadline."""

    def __init__(
        self, shortest: float = SHORTEST_SECONDS, first_token: float = FIRST_TOKEN_SECONDS
    ) -> None:
        self._shortest = shortest
        self._first_token = first_token
        self._mean = 0.0
        self._deviation = 0.0
        self._seen = False

    def observe(self, seconds: float) -> None:
        """Take in one gap."""
        if not self._seen:
            self._mean, self._deviation, self._seen = seconds, seconds / 2, True
            return
        error = seconds - self._mean
        self._mean += MEAN_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    def first_deadline(self, now: float) -> float:
        """Return when the first token of an attempt counts as stalled."""
        return now + self._first_token

    def next_deadline(self, now: float) -> float:
        """Return when the next token counts as stalled."""
        if not self._seen:
            return now + self._first_token
        gap = self._mean + DEVIATIONS * self._deviation
        return now + min(max(gap, self._shortest), LONGEST_SECONDS)
