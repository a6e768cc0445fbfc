"""Whether an upstream whose connection broke has ended, or only the connection did.

Connections are reset, answers break off and machines are cut off without any fault of a request: a
request is under suspicion only where its upstream ended.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from deckcourse.gateway.dialect import Pulse, StreamControl
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable

__all__ = ["CrashCheck"]

# One that is there answers within 3 ms, one that ended turns connections down as quickly, seconds.
ANSWER_SECONDS = 0.04
# What ended gets no new work for so long, seconds: its row goes later.
SUSPECT_SECONDS = 4.0


@dataclass
class _Question:
    """A question under way, and its answer."""

    answered: trio.Event = field(default_factory=trio.Event)
    pulse: Pulse = Pulse.SILENT


class CrashCheck:
    """Asks each upstream once, however many of its requests broke off together.

    Args:
      upstreams: where an end is noted.
      control: asks upstreams.
      log: writes decisions.
    """

    def __init__(
        self, upstreams: UpstreamTable, control: StreamControl, log: Callable[..., None]
    ) -> None:
        self._upstreams = upstreams
        self._control = control
        self._log = log
        self._questions: dict[str, _Question] = {}

    async def pulse(self, upstream: Upstream, has_layers: bool) -> Pulse:
        """Return whether an upstream is there; DEAD where it has ended.

        Args:
          upstream: who is asked.
          has_layers: whether it answers questions; a plain one would run them.
        """
        instance = upstream.instance
        if self._upstreams.has_ended(instance):
            return Pulse.DEAD
        question = self._questions.get(instance)
        if question is None:
            question = self._questions[instance] = _Question()
            await self._ask(upstream, has_layers, question)
        await question.answered.wait()
        return question.pulse

    async def _ask(self, upstream: Upstream, has_layers: bool, question: _Question) -> None:
        try:
            if has_layers:
                reading = await self._control.pulse(upstream, ANSWER_SECONDS)
                question.pulse = reading.pulse
            else:
                question.pulse = await self._control.reach(upstream, ANSWER_SECONDS)
        finally:
            del self._questions[upstream.instance]
            question.answered.set()
        if question.pulse is Pulse.DEAD:
            self._upstreams.suspect(upstream.instance, SUSPECT_SECONDS, lost=True)
        self._log(
            "broke-off",
            instance=upstream.instance,
            address=upstream.address,
            pulse=str(question.pulse),
        )
