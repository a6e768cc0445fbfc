"""One gateway process: it follows the store, serves callers and takes part in the placement."""

from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from traceback import format_exception

import trio

from deckcourse.change_feed import Follower
from deckcourse.counters import Counters
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.crash_book import CRASH_TABLE, CrashBook
from deckcourse.gateway.crash_check import CrashCheck
from deckcourse.gateway.crash_evidence import CrashEvidence
from deckcourse.gateway.crash_watch import CrashWatch
from deckcourse.gateway.desired import CallerBounds, DesiredState
from deckcourse.gateway.gateway import Gateway
from deckcourse.gateway.lapse_check import LapseCheck
from deckcourse.gateway.node_ports import GatewayIdentity, GatewayPorts
from deckcourse.gateway.notice_intake import NoticeIntake
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.quarantine_view import QUARANTINE_PATH, encode_quarantine
from deckcourse.gateway.rate_gate import RateGate
from deckcourse.gateway.rate_limits import RateLimitBook
from deckcourse.gateway.retry_allowance import RetryAllowance, RetryLimits
from deckcourse.gateway.row_intake import RowIntake
from deckcourse.gateway.stalls import StallMonitor
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import StartNews, Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.server import Exchange, IncomingRequest
from deckcourse.layers.healer import Healer
from deckcourse.layers.hosts import Group
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.plan_book import PLAN_TABLE, PlanBook, PlanRecord
from deckcourse.peers.followers import turn_of
from deckcourse.peers.peers import Peers
from deckcourse.peers.rate_limit import RateLimit
from deckcourse.settings import GatewaySettings

__all__ = ["GatewayNode"]

# The part of the revocation time after which nothing that needs a key is sent any more: a key
# taken away just after the last sign of the store must not open anything when that time is over.
STALE_SHARE = 0.8
# The part of it that one question for changes waits at the store: its answer is also the sign that
# the store is in reach. A shorter wait costs calls, a longer one delays that sign.
CONTACT_SHARE = 0.2
# The part of it that such an answer may be late by before the process calls itself not ready: the
# balancer then turns to others, which may see the store.
LATE_SHARE = 0.15
# What a process carries of all traffic where there are so few that waits and pauses need not grow
# with their number.
SMALL_SITE_SHARE = 0.1
# Before there was any traffic nothing hurries: waits and pauses are so many times as long, and
# fewer processes come together.
FACTOR_BEFORE_TRAFFIC = 4.0
# How many times longer than others a process refuses what is to be tried once more, at the most:
# one tries, and tells the rest, before they do.
SPREAD = 0.5
# Between a fault in background work and its next run, seconds.
FAULT_PAUSE_SECONDS = 0.2


class GatewayNode:
    """One process: its parts, and what it knows of the configuration and of the upstreams.

    Args:
      identity: who the process is.
      ports: the outside systems and the ways to reach them.
      settings: returns the settings in force.
      counters: counts and timings.
      log: writes decisions.
      random: for waits that should differ between processes.
    """

    def __init__(
        self,
        identity: GatewayIdentity,
        ports: GatewayPorts,
        settings: Callable[[], GatewaySettings],
        counters: Counters,
        log: Callable[..., None],
        random: Random,
    ) -> None:
        self._identity = identity
        self._ports = ports
        self._settings = settings
        self._counters = counters
        self._log = log
        self._random = random
        self._traffic = TrafficShare(trio.current_time)
        self._desired: DesiredState | None = None
        self._desired_changed = trio.Event()
        self._upstreams = UpstreamTable(trio.current_time, self._note_ended)
        ports.control.judge_starts(self._judge_start)
        self._limits = RateLimitBook(trio.current_time, self._note_limit)
        notices = NoticeIntake(self._upstreams, self._limits, counters.count, log)
        ports.control.listen(notices.apply)
        self._choices: dict[str, PathChoice] = {}
        self._healers: dict[str, Healer] = {}
        self._book = PlanBook(ports.table, identity.author)
        self._stopping = False
        rows = ports.rows
        self._peers = Peers(
            ports.peers,
            ports.feed,
            (rows.operator_table, rows.upstream_table, PLAN_TABLE, CRASH_TABLE),
            ports.pool,
            self._contact_wait,
            self._note_return,
            random,
            log,
            counters.gauge,
            counters.count,
        )
        self._crashes = self._new_crash_watch()
        self._rates = RateGate(
            self._limits,
            self._upstreams,
            ports.table,
            identity.author,
            self._peers.roster,
            self._peers.gossip,
            lambda: not self._stopping,
            counters.count,
            log,
        )
        ports.control.admit(self._rates.admit)
        intake = RowIntake(
            rows,
            self._upstreams,
            self._book,
            ports.pool,
            self._take_desired,
            self._hear_plan,
            self._note_gone,
            counters.count,
            log,
        )
        self._operator_feed = Follower(
            self._peers.feed,
            rows.operator_table,
            intake.operator_rows,
            intake.operator_row,
            random,
            self._on_contact,
            self._contact_wait,
            self._process_factor,
            self._is_told,
            self._is_paced,
        )
        self._upstream_feed = Follower(
            self._peers.feed,
            rows.upstream_table,
            intake.upstream_rows,
            intake.upstream_row,
            random,
            self._on_list_contact,
            process_factor=self._process_factor,
            gathered=self._is_told,
            paced=self._is_paced,
        )
        self._plan_feed = Follower(
            self._peers.feed,
            PLAN_TABLE,
            intake.plan_rows,
            intake.plan_row,
            random,
            process_factor=self._process_factor,
            gathered=self._is_told,
            paced=self._is_paced,
        )
        self._crash_feed = Follower(
            self._peers.feed,
            CRASH_TABLE,
            self._crash_book.take_all,
            self._crash_book.take,
            random,
            self._on_list_contact,
            process_factor=self._process_factor,
            gathered=self._is_told,
            paced=self._is_paced,
        )
        self._lapse_check = LapseCheck(
            self._upstreams, ports.orderer, lambda: self._peers.feed.follows, log
        )
        self._monitor = StallMonitor(
            self._upstreams, ports.control, self._choice, self._witness, counters.count, log
        )
        context = GatewayContext(
            upstreams=self._upstreams,
            notices=notices,
            crashes=self._crashes,
            rates=self._rates,
            dialect=ports.dialect,
            pool=ports.pool,
            monitor=self._monitor,
            choices=self._choice,
            may_send=self.may_send,
            count=counters.count,
            timing=counters.timing,
            log=log,
            new_allowance=self._new_allowance,
        )
        self._gateway = Gateway(context, lambda: self._desired, identity.domain)

    @property
    def gateway(self) -> Gateway:
        """What answers callers' requests."""
        return self._gateway

    @property
    def peers(self) -> Peers:
        """What this process shares with the others of its site."""
        return self._peers

    @property
    def stopping(self) -> bool:
        """Whether the process is on its way to its end."""
        return self._stopping

    @property
    def ready(self) -> bool:
        """Whether the balancer may send new connections here."""
        if self._stopping or self._desired is None or not self._upstream_feed.known:
            return False
        return self._age() < self._contact_wait() + self._settings().revocation * LATE_SHARE

    @property
    def bounds(self) -> CallerBounds:
        """What callers may send and how long they may take."""
        return self._desired.bounds if self._desired is not None else CallerBounds()

    async def handle_peer(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Answer another process, or an operator."""
        path, _, identity = request.target.partition(b"?")
        if path != QUARANTINE_PATH:
            await self._peers.handle(request, exchange)
            return
        if request.method == b"DELETE":
            known = self._crashes.release(identity.decode("latin-1"))
            await exchange.whole(200 if known else 404, (), b"")
            return
        kind = (b"content-type", b"application/json")
        await exchange.whole(200, (kind,), encode_quarantine(self._crashes.view()))

    def stop(self) -> None:
        """Turn new callers away; what is in flight goes on."""
        self._stopping = True

    def refuse_new(self) -> None:
        """Refuse every request that comes from now on; those under way go on."""
        self._gateway.refuse_new()

    def may_send(self) -> bool:
        """Return whether the configuration is fresh enough for what needs a key."""
        return self._age() < self._settings().revocation * STALE_SHARE

    def _age(self) -> float:
        return trio.current_time() - self._operator_feed.as_of

    async def run(self) -> None:
        """Do the background work until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_up, self._peers.gossip.run)
            nursery.start_soon(self._keep_up, self._peers.feed.run)
            nursery.start_soon(self._keep_up, self._operator_feed.run)
            nursery.start_soon(self._keep_up, self._upstream_feed.run)
            nursery.start_soon(self._keep_up, self._plan_feed.run)
            nursery.start_soon(self._keep_up, self._crash_feed.run)
            nursery.start_soon(self._keep_up, self._lapse_check.run)
            nursery.start_soon(self._keep_up, self._monitor.run)
            nursery.start_soon(self._keep_up, self._crashes.run)
            nursery.start_soon(self._keep_up, self._rates.run)
            nursery.start_soon(self._start_healers, nursery)

    async def _keep_up(self, work: Callable[..., Awaitable[None]], *args: object) -> None:
        """Run background work for ever; a fault in it is told, and must not end the process."""
        while True:
            try:
                await work(*args)
            except Exception as error:
                self._counters.count("fault")
                self._log("fault", work=work.__qualname__, error="".join(format_exception(error)))
            await trio.sleep(FAULT_PAUSE_SECONDS)

    async def _start_healers(self, nursery: trio.Nursery) -> None:
        """Start a healer for each service whose upstreams hold layers."""
        while True:
            changed = self._desired_changed
            services = self._desired.services if self._desired is not None else {}
            for name, service in services.items():
                if service.model is not None and name not in self._healers:
                    healer = Healer(
                        name,
                        self._upstreams,
                        self._book,
                        self._ports.orderer,
                        self._random,
                        self._log,
                        self._turn,
                    )
                    self._healers[name] = healer
                    model = partial(self._model_of, name)
                    nursery.start_soon(self._keep_up, healer.run, model, self._may_heal)
                    nursery.start_soon(self._keep_up, self._choice(name).watch.run)
            await changed.wait()

    def _contact_wait(self) -> float:
        """Return how long a question for changes of the configuration waits, seconds."""
        return self._settings().revocation * CONTACT_SHARE

    def _is_told(self) -> bool:
        """Return whether others tell this process of changes."""
        return not self._peers.feed.follows

    def _is_paced(self) -> bool:
        """Return whether pauses between questions to the store are left by the shared feed."""
        return self._peers.feed.paces

    def _process_factor(self) -> float:
        """Return how many times as many processes there are as on a small site."""
        if not self._traffic.measured:
            return FACTOR_BEFORE_TRAFFIC
        return self._traffic.spread(1.0, SMALL_SITE_SHARE)

    def _turn(self, group: Group) -> int:
        """Return how many processes go before this one where a group needs a plan."""
        domains = {each.domain for each in group.hosts}
        roster = self._peers.roster
        return turn_of(roster.own, roster.live(), domains, group.name)

    def _model_of(self, service: str) -> ModelSpec | None:
        spec = self._desired.services.get(service) if self._desired is not None else None
        return spec.model if spec is not None else None

    def _may_heal(self) -> bool:
        # Also on the way to the end: nobody else may have seen an upstream of this domain fail.
        return self._upstream_feed.known and self.may_send()

    def _new_crash_watch(self) -> CrashWatch:
        evidence = CrashEvidence(trio.current_time, 1.0 + SPREAD * self._random.random())
        self._crash_book = CrashBook(
            self._ports.table, evidence, lambda: self._peers.feed.follows, self._counters.count
        )
        return CrashWatch(
            evidence,
            CrashCheck(self._upstreams, self._ports.control, self._log),
            self._crash_book,
            self._peers.gossip,
            self._counters.count,
            self._log,
        )

    def _new_allowance(self) -> RetryAllowance:
        return RetryAllowance(self._retry_limits, self._share_of_traffic, trio.current_time)

    def _retry_limits(self) -> RetryLimits:
        settings = self._settings()
        return RetryLimits(settings.retry_ratio, settings.retry_slack, settings.retry_window)

    def _share_of_traffic(self) -> float:
        return self._traffic.share

    def _choice(self, service: str) -> PathChoice:
        if service not in self._choices:
            self._choices[service] = PathChoice(
                service,
                self._identity.name,
                self._identity.domain,
                self._upstreams,
                trio.current_time,
                self._ports.control,
                self._traffic,
                self._peers.loads,
                lambda: self._peers.feed.follows,
                self._random,
            )
        return self._choices[service]

    def _witness(self, domain: str) -> None:
        for healer in self._healers.values():
            healer.witness(domain)

    def _note_ended(self, older: Upstream) -> None:
        """Take in that an upstream started again: nothing of its older start is there any more."""
        self._limits.forget(older.instance)
        self._counters.count("upstream.restarted")
        self._log("upstream-restarted", instance=older.instance, address=older.address)
        self._ports.pool.forget(older.address)
        self._monitor.note_ended(older)
        self._crashes.note_ended(older.instance)

    def _note_limit(self, limit: RateLimit, source: str) -> None:
        """Apply a new, changed or ended rate limit."""
        self._upstreams.note_limited(limit.instance, limit.rate is not None)
        self._rates.note_change(limit, source)

    def _note_gone(self, upstream: Upstream) -> None:
        """Take in that an upstream's row is gone, which may lapse while the store is away."""
        if not upstream.leaving and self._upstreams.settled:
            self._crashes.note_ended(upstream.instance)

    def _judge_start(self, asked: Upstream, start: int) -> StartNews:
        """Take in the start that an upstream itself told; others may not know of a newer one."""
        listed = self._upstreams.get(asked.instance) is not None
        news = self._upstreams.hear_start(asked, start)
        if listed and news is StartNews.NEWER:
            self._witness(asked.domain)
        return news

    def _note_return(self, moment: float | None = None) -> None:
        """Take in that the store is back, now or since a moment."""
        self._upstreams.store_returned(moment)
        self._lapse_check.store_returned()

    def _on_list_contact(self, regained: bool) -> None:
        if regained:
            self._note_return()
            if self._operator_feed.lost:
                # Else its pause goes on, and the configuration counts as old meanwhile.
                self._operator_feed.ask_anew()

    def _on_contact(self, regained: bool) -> None:
        if regained:
            self._note_return()
        self._upstream_feed.ask_anew()
        self._counters.count("store.regained" if regained else "store.lost")
        self._log("store-regained" if regained else "store-lost", age=round(self._age(), 3))

    def _take_desired(self, desired: DesiredState) -> None:
        known = self._desired.version if self._desired is not None else None
        if known is not None and desired.version <= known:
            return
        self._desired = desired
        self._desired_changed.set()
        self._desired_changed = trio.Event()
        self._log("configuration", version=desired.version, before=known)

    def _hear_plan(self, group: str, record: PlanRecord) -> None:
        for service, healer in self._healers.items():
            model = self._model_of(service)
            if model is not None and model.name == record.model:
                healer.hear(group, model, record)
