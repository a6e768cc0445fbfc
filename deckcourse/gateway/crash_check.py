"""Probes upstreams after a broken connection, to tell a crash from a connection failure.

Connections are reset, responses break off and machines are cut off through no fault of a request: a
request becomes suspect only if its upstream ended.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from deckcourse.gateway.dialect import ProbeResult, StreamControl
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable

__all__ = ["CrashCheck"]

# Probe timeout, seconds: a live upstream replies within 3 ms, and the machine of an ended one
# refuses connections as quickly.
PROBE_TIMEOUT_SECONDS = 0.04
# Time for which an ended upstream gets no new requests, seconds: its row is removed later.
SUSPICION_TTL_SECONDS = 4.0


@dataclass
class _Probe:
    """A probe in progress, and its result."""

    done: trio.Event = field(default_factory=trio.Event)
    result: ProbeResult = ProbeResult.SILENT


class CrashCheck:
    """Probes each upstream once, however many of its requests broke off together.

    Args:
      upstreams: records lost upstreams.
      control: sends probes.
      log: writes the decision log.
      refutes_end: returns whether an upstream may refuse connections to this process only.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        control: StreamControl,
        log: Callable[..., None],
        refutes_end: Callable[[Upstream], Awaitable[bool]],
    ) -> None:
        self._upstreams = upstreams
        self._refutes_end = refutes_end
        self._control = control
        self._log = log
        self._probes: dict[str, _Probe] = {}

    async def probe(self, upstream: Upstream, has_layers: bool) -> ProbeResult:
        """Probe an upstream; return DEAD if it has ended.

        Args:
          upstream: the upstream.
          has_layers: whether it accepts queries; a plain upstream would run them as requests.
        """
        instance = upstream.instance
        if self._upstreams.has_ended(instance):
            return ProbeResult.DEAD
        probe = self._probes.get(instance)
        if probe is None:
            probe = self._probes[instance] = _Probe()
            await self._send_probe(upstream, has_layers, probe)
        await probe.done.wait()
        return probe.result

    async def _send_probe(self, upstream: Upstream, has_layers: bool, probe: _Probe) -> None:
        try:
            if has_layers:
                reply = await self._control.probe(upstream, PROBE_TIMEOUT_SECONDS)
                probe.result = reply.result
            else:
                probe.result = await self._connect(upstream)
            if probe.result is ProbeResult.DEAD and await self._refutes_end(upstream):
                probe.result = ProbeResult.SILENT
        finally:
            del self._probes[upstream.instance]
            probe.done.set()
        if probe.result is ProbeResult.DEAD:
            self._upstreams.suspect(upstream.instance, SUSPICION_TTL_SECONDS, lost=True)
        self._log(
            "broke-off",
            instance=upstream.instance,
            address=upstream.address,
            pulse=str(probe.result),
        )

    async def _connect(self, upstream: Upstream) -> ProbeResult:
        """Return DEAD if an upstream refuses connections, otherwise SILENT.

        A proxy may accept connections for an upstream that has ended, and close them later.
        """
        result = await self._control.probe_connection(upstream, PROBE_TIMEOUT_SECONDS)
        return ProbeResult.DEAD if result is ProbeResult.DEAD else ProbeResult.SILENT
