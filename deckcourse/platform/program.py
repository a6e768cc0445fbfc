"""The gateway program on the users' platform: component wiring and signal handling."""

import os
import signal
import sys
from random import SystemRandom
from time import time
from uuid import uuid4

import trio
from returns.result import Failure, Success

from deckcourse.counters import StatsdCounters
from deckcourse.decision_log import DecisionLog
from deckcourse.gateway.node import GatewayNode
from deckcourse.gateway.node_ports import GatewayIdentity, GatewayPorts
from deckcourse.gateway.server import GatewayServer, ListenAddresses
from deckcourse.host_clock import run_on_host_clock, steady_wall_clock
from deckcourse.http1.pool import ConnectionPool
from deckcourse.metrics import RegistryCounters
from deckcourse.peers.datagrams import UdpDatagrams
from deckcourse.peers.member import Member
from deckcourse.peers.peers import PeerPorts
from deckcourse.platform.dialect import PlatformDialect
from deckcourse.platform.environment import read_deployed_settings
from deckcourse.platform.names import READY, SETTINGS_VARIABLE
from deckcourse.platform.rows import PlatformRows
from deckcourse.platform.runners import RunnerControl
from deckcourse.platform.store import Store
from deckcourse.settings import Settings

__all__ = ["main"]

# The exit code for invalid settings (EX_CONFIG of sysexits.h).
SETTINGS_EXIT_CODE = 78


class _Process:
    """The gateway and its settings, which can be reloaded."""

    def __init__(self, path: str, settings: Settings, log: DecisionLog) -> None:
        self._path = path
        self._settings = settings
        self._log = log
        node = settings.node
        statsd = settings.statsd
        counters = RegistryCounters(
            StatsdCounters(statsd.host, statsd.port) if statsd.host else None
        )
        pool = ConnectionPool(counters.count)
        store = Store(pool, str(node.platform), counters.count)
        control = RunnerControl(pool)
        gateway = settings.gateway
        # Unique for each incarnation: plans of an earlier one count as those of another author.
        author = f"{node.name}/{uuid4().hex[:12]}"
        self._server = GatewayServer(
            GatewayNode(
                GatewayIdentity(node.name, node.domain, author),
                GatewayPorts(
                    store,
                    store,
                    PlatformRows(),
                    PlatformDialect(),
                    control,
                    control,
                    pool,
                    self._peer_ports(),
                    steady_wall_clock(),
                ),
                lambda: self._settings.gateway,
                counters,
                log.log,
                SystemRandom(),
                lambda: self._settings.load,
            ),
            ListenAddresses(
                gateway.listen, gateway.ready_listen, gateway.metrics_listen, gateway.peer_listen
            ),
            lambda: self._settings.gateway.stop_grace,
            counters.text,
            READY,
            log.log,
            counters.count,
            lambda: self._settings.gateway.read_slack,
        )

    def _peer_ports(self) -> PeerPorts:
        node, gateway = self._settings.node, self._settings.gateway
        address = str(gateway.peer_listen)
        started_ms = int(time() * 1000)
        own = Member(node.name, started_ms, address, node.domain, gateway.peer_weight)
        return PeerPorts(own, UdpDatagrams(address), lambda: self._settings.node.peers)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._watch_signals)
            await self._server.run()
            nursery.cancel_scope.cancel()

    async def _watch_signals(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            task_status.started()
            async for number in signals:
                self._log.log("signal", signal=signal.Signals(number).name)
                if number == signal.SIGHUP:
                    self._reload()
                else:
                    self._server.stop()

    def _reload(self) -> None:
        """Reload the settings; if the new ones are invalid, the old ones stay in effect."""
        match read_deployed_settings(self._path, os.environ):
            case Success(settings):
                changed = settings != self._settings
                self._settings = settings
                self._log.log("settings", changed=changed)
            case Failure(problems):
                self._log.log("settings-refused", problems=[str(each) for each in problems])


def main() -> None:
    """Run the program."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"{SETTINGS_VARIABLE}: must be set to the path of a settings file", file=sys.stderr)
        raise SystemExit(SETTINGS_EXIT_CODE)
    match read_deployed_settings(path, os.environ):
        case Success(settings):
            log = DecisionLog(settings.node.name)
            if settings.log.enabled:
                log.start()
            log.log("start", domain=settings.node.domain)
            run_on_host_clock(_Process(path, settings, log).run)
        case Failure(problems):
            for problem in problems:
                print(problem, file=sys.stderr)
            raise SystemExit(SETTINGS_EXIT_CODE)
