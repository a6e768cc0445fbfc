"""The admission queues of one process, one for each service, and what wakes them."""

from collections.abc import Callable
from random import Random

import trio

from deckcourse.gateway.admission_queue import AdmissionQueue
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.path_prospects import PathProspects
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.settings import LoadSettings

__all__ = ["AdmissionQueues"]


class AdmissionQueues:
    """The admission queues of one process.

    Args:
      settings: returns the current settings for load that exceeds capacity.
      ranks_streams: returns whether the streams of a service have more than one priority.
      path_choice: returns the choice of paths of a service.
      upstreams: the upstreams that this process knows.
      traffic: this process's share of all traffic.
      random: spreads the retries of refused callers.
      count: adds to a counter by name.
      gauge: sets a gauge by name.
      log: writes the decision log.
    """

    def __init__(
        self,
        settings: Callable[[], LoadSettings],
        ranks_streams: Callable[[str], bool],
        path_choice: Callable[[str], PathChoice],
        upstreams: UpstreamTable,
        traffic: TrafficShare,
        random: Random,
        count: Callable[[str], None],
        gauge: Callable[[str, float], None],
        log: Callable[..., None],
    ) -> None:
        self._settings = settings
        self._ranks_streams = ranks_streams
        self._path_choice = path_choice
        self._upstreams = upstreams
        self._traffic = traffic
        self._random = random
        self._count = count
        self._gauge = gauge
        self._log = log
        self._queues: dict[str, AdmissionQueue] = {}
        self._prospects: dict[str, PathProspects] = {}
        self._added = trio.Event()

    def is_on(self, service: str) -> bool:
        """Return whether streams of a service are admitted by rank.

        That takes more than one priority: where all streams are alike, holding some back served
        fewer of them than a queue at the upstreams (docs/design/admission.md).
        """
        return self._settings().admission and self._ranks_streams(service)

    def of(self, service: str) -> AdmissionQueue:
        """Return the queue of a service."""
        if service not in self._queues:
            self._queues[service] = AdmissionQueue(
                service,
                trio.current_time,
                lambda: self._settings().max_waiting,
                self._path_choice(service).note_sent,
                self._upstreams.call_at_next_change,
                self._count,
                self._gauge,
                self._log,
            )
            self._added.set()
        return self._queues[service]

    def prospects(self, service: str) -> PathProspects:
        """Return what the paths of a service offer."""
        if service not in self._prospects:
            self._prospects[service] = PathProspects(
                self._path_choice(service), self._upstreams, self._traffic, self._random
            )
        return self._prospects[service]

    def note_ended(self, service: str, instance: str) -> None:
        """Record that a stream of this process ended at the first upstream of its path."""
        if self.is_on(service):
            self._path_choice(service).note_ended(instance)
            self.of(service).note_end()

    def note_room(self) -> None:
        """Record that loads or upstreams changed."""
        for each in self._queues.values():
            each.note_room()

    def jitter(self) -> float:
        """Return a random number from 0 to 1."""
        return self._random.random()

    def stop(self) -> None:
        """Serve or refuse all that waits: the process refuses new requests from now on."""
        for each in self._queues.values():
            each.stop()

    async def run(self) -> None:
        """Run the queues until cancelled."""
        async with trio.open_nursery() as nursery:
            running: set[str] = set()
            while True:
                self._added = trio.Event()
                for service in self._queues.keys() - running:
                    running.add(service)
                    nursery.start_soon(self._queues[service].run)
                await self._added.wait()
