"""The sharing of lost upstreams between processes: notices and watched connections, assembled.

No task runs for it before the settings switch it on.
"""

from collections.abc import Awaitable, Callable, Iterable
from random import Random

from deckcourse.gateway.connection_watch import ConnectionWatch
from deckcourse.gateway.dialect import StreamControl
from deckcourse.gateway.loss_notices import LossNotices
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.transport import Dial
from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.roster import Roster
from deckcourse.settings import LoadSettings

__all__ = ["LossSharing"]


class LossSharing:
    """What one process shares about lost upstreams.

    Args:
      settings: returns the current settings for load that exceeds capacity.
      roster: the membership view.
      gossip: sends and receives datagrams.
      upstreams: the upstreams that this process knows.
      control: probes upstreams.
      dial: opens a connection to an upstream.
      services: returns the services whose upstreams hold layers; see `ConnectionWatch`.
      is_stopping: returns whether the process is shutting down.
      random: chooses recipients.
      count: increments the counter of a name.
      log: writes an entry to the decision log.
      is_partitioned: returns whether this process reaches no upstream of a service.
    """

    def __init__(
        self,
        settings: Callable[[], LoadSettings],
        roster: Roster,
        gossip: PeerGossip,
        upstreams: UpstreamTable,
        control: StreamControl,
        dial: Dial,
        services: Callable[[], Iterable[tuple[str, int]]],
        is_stopping: Callable[[], bool],
        random: Random,
        count: Callable[[str], None],
        log: Callable[..., None],
        is_partitioned: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._settings = settings
        self._is_stopping = is_stopping
        self._notices = LossNotices(
            roster,
            gossip,
            upstreams,
            control,
            lambda: self._settings().shared_losses,
            random,
            count,
            log,
            is_partitioned,
        )
        self._watch = ConnectionWatch(
            roster, upstreams, self._notices, dial, services, self._watches, count, log
        )
        self._has_started = False

    @property
    def notices(self) -> LossNotices:
        """The notices that this process sends and believes."""
        return self._notices

    @property
    def watch(self) -> ConnectionWatch:
        """The watch over connections to upstreams."""
        return self._watch

    def register_handler(self, on_reported: Callable[[str], None]) -> None:
        """Register the handler that is called with each upstream that is probably gone."""
        self._notices.register_handlers(on_reported, self._watch.on_update)

    def start_if_on(self, start: Callable[[Callable[[], Awaitable[None]]], None]) -> None:
        """Start the background tasks once the settings switch the sharing on.

        Args:
          start: starts a task.
        """
        if self._settings().shared_losses and not self._has_started:
            self._has_started = True
            start(self._notices.run)
            start(self._watch.run)

    def _watches(self) -> bool:
        """Return whether to watch connections; what that finds is of use only if it is shared."""
        settings = self._settings()
        return settings.shared_losses and settings.watch_connections and not self._is_stopping()
