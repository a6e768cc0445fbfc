"""Moves running streams away from upstreams that peers or connection watches report as lost.

Load pattern: a lost upstream shows itself only once a stream is stalled for 85 to 150 ms, most of
the 200 to 250 ms that the stream may pause. A report of another process comes sooner; it is
verified by a probe, which a live upstream answers within 3 ms.
"""

from collections.abc import Awaitable, Callable, Collection

import trio

from deckcourse.decisions.gone_hosts import GoneEvidence
from deckcourse.gateway.active_stream import ActiveStream
from deckcourse.gateway.dialect import ProbeResult
from deckcourse.gateway.stream_moves import StreamMover
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable

__all__ = ["ReportedLosses"]

# Shortest interval between two checks of an upstream: several peers report one loss within some
# milliseconds.
CHECK_INTERVAL_SECONDS = 0.1
# Upstreams that were silent within this time are compared with those in use.
SILENT_RETENTION_SECONDS = 1.0
# A live upstream answers a probe within 3 ms; one that is checked for longer counts as silent where
# this process may be isolated.
USUAL_ANSWER_SECONDS = 0.01


class ReportedLosses:
    """Checks reported upstreams that own streams pass.

    Args:
      streams: the running streams, a live view.
      upstreams: the upstreams that this process knows.
      mover: moves streams.
      probe: probes an upstream.
      suspect: records that this process found an upstream to be lost.
      interrupt: interrupts the streams that begin at an upstream, for a reason.
      isolation_share: if more than this share of the upstreams in use is silent, this process is
        probably isolated itself.
      count: increments the counter of a name.
      log: writes an entry to the decision log.
    """

    def __init__(
        self,
        streams: Collection[ActiveStream],
        upstreams: UpstreamTable,
        mover: StreamMover,
        probe: Callable[[Upstream], Awaitable[ProbeResult]],
        suspect: Callable[[Upstream], None],
        interrupt: Callable[[str, str], None],
        isolation_share: float,
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._streams = streams
        self._upstreams = upstreams
        self._mover = mover
        self._probe = probe
        self._suspect = suspect
        self._interrupt = interrupt
        self._isolation_share = isolation_share
        self._count = count
        self._log = log
        # Since when reported upstreams are being probed.
        self._checking: dict[str, float] = {}
        self._next_check_at: dict[str, float] = {}
        self._silent_at: dict[str, float] = {}

    def check(self, instance: str, confirmed: bool, nursery: trio.Nursery) -> None:
        """Check an upstream that is reported as lost.

        New paths of running streams avoid it for a short time. If own streams pass it, it is probed
        at once, and they are moved unless it answers.

        Args:
          instance: the upstream.
          confirmed: whether its end is confirmed already: with `onward_spread` the streams are
            moved without a probe.
          nursery: runs the check.
        """
        now = trio.current_time()
        confirmed = confirmed and self._mover.is_spreading
        evidence = GoneEvidence.LOST if confirmed else GoneEvidence.REPORTED
        self._mover.gone.note(instance, evidence, now)
        if not self._passing(instance):
            return
        if confirmed:
            self._count("check.confirmed")
            nursery.start_soon(self._leave, instance, "confirmed")
        elif instance not in self._checking and now >= self._next_check_at.get(instance, now):
            self._next_check_at = {
                name: at for name, at in self._next_check_at.items() if at > now
            } | {instance: now + CHECK_INTERVAL_SECONDS}
            self._checking[instance] = now
            nursery.start_soon(self._verify, instance)

    def _passing(self, instance: str) -> list[ActiveStream]:
        return [each for each in self._streams if instance in each.path.instances]

    async def _verify(self, instance: str) -> None:
        """Probe a reported upstream, and move streams away from it unless it answers."""
        try:
            upstream = self._upstreams.last_known(instance)
            if upstream is None or self._upstreams.is_suspected(instance):
                return
            result = await self._probe(upstream)
        finally:
            self._checking.pop(instance, None)
        self._count(f"check.{result}")
        if result is ProbeResult.ALIVE:
            self._mover.gone.note_alive(instance)
        elif result is ProbeResult.DEAD or (
            result is ProbeResult.SILENT and not self._is_isolated(instance)
        ):
            self._suspect(upstream)
            await self._leave(instance, str(result))

    def _is_isolated(self, silent_upstream: str) -> bool:
        """Return whether so many upstreams in use are silent that this process is isolated."""
        now = trio.current_time()
        oldest = now - SILENT_RETENTION_SECONDS
        recent = {name: at for name, at in self._silent_at.items() if at > oldest}
        self._silent_at = recent | {silent_upstream: now}
        unanswered = {
            name for name, at in self._checking.items() if at < now - USUAL_ANSWER_SECONDS
        }
        in_use = {name for each in self._streams for name in each.path.instances}
        silent_in_use = in_use & (unanswered | self._silent_at.keys())
        return len(silent_in_use) > max(1, self._isolation_share * len(in_use))

    async def _leave(self, instance: str, result: str) -> None:
        """Move the streams that pass a lost upstream, and restart those that begin there."""
        passing = self._passing(instance)
        self._log("upstream-checked", instance=instance, result=result, streams=len(passing))
        if any(each.path.stages[0].instance == instance for each in passing):
            self._interrupt(instance, result)
        await self._mover.move_all()
