"""Assembles one gateway process: store feeds, request handling and layer healing."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from functools import partial
from random import Random
from traceback import format_exception

import trio

from deckcourse.change_feed import Follower
from deckcourse.counters import Counters
from deckcourse.gateway.admission_queues import AdmissionQueues
from deckcourse.gateway.call_balances import CallBalances
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.crash_book import CRASH_TABLE, CrashBook
from deckcourse.gateway.crash_check import CrashCheck
from deckcourse.gateway.crash_evidence import CrashEvidence
from deckcourse.gateway.crash_watch import CrashWatch
from deckcourse.gateway.desired import CallerBounds, DesiredState
from deckcourse.gateway.end_check import EndCheck
from deckcourse.gateway.gateway import Gateway
from deckcourse.gateway.handover import Handover
from deckcourse.gateway.held_bytes import HeldBytes
from deckcourse.gateway.issuing import Issuing
from deckcourse.gateway.lapse_check import LapseCheck
from deckcourse.gateway.loss_sharing import LossSharing
from deckcourse.gateway.node_ports import GatewayIdentity, GatewayPorts
from deckcourse.gateway.notice_intake import NoticeIntake
from deckcourse.gateway.overload import OverloadWatch
from deckcourse.gateway.part_evidence import PartEvidence
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.peer_endpoint import PeerEndpoint
from deckcourse.gateway.placement_demand import DemandWatch
from deckcourse.gateway.rate_limits import RateLimitBook
from deckcourse.gateway.reach_sharing import ReachSharing
from deckcourse.gateway.retry_allowance import RetryAllowance
from deckcourse.gateway.retry_budgets import RetryBudgets
from deckcourse.gateway.retry_limits import RetryLimits
from deckcourse.gateway.row_intake import RowIntake
from deckcourse.gateway.sibling_connections import SiblingConnections
from deckcourse.gateway.stalls import StallMonitor
from deckcourse.gateway.start_wait import StartWait
from deckcourse.gateway.stream_moves import OnwardSpread
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import StartOrder, Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.message import ConnectionLostError, IncomingRequest
from deckcourse.http1.server import Exchange
from deckcourse.layers.healer import Healer
from deckcourse.layers.hosts import Group
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.plan_book import PLAN_TABLE, PlanBook, PlanRecord
from deckcourse.peers.followers import rank_of
from deckcourse.peers.peers import Peers
from deckcourse.peers.rate_limit import RateLimit
from deckcourse.settings import GatewaySettings, LoadSettings
from deckcourse.table import Row

__all__ = ["GatewayNode"]

# Share of the revocation time after which requests that need a key are refused: a key revoked just
# after the last contact with the store must not be accepted once the revocation time is over.
MAX_STALENESS_SHARE = 0.8
# Share of the revocation time that one poll for changes waits at the store. Its reply also shows
# that the store is available: a shorter wait costs calls, a longer one delays that signal.
POLL_WAIT_SHARE = 0.2
# Share of the revocation time by which such a reply may be late before the process reports itself
# as not ready: the balancer then uses other processes, which may still reach the store.
POLL_GRACE_SHARE = 0.15
# Traffic share of a process on a site so small that waits and pauses need not grow with the number
# of processes.
SMALL_SITE_TRAFFIC_SHARE = 0.1
# Factor for waits and pauses before any traffic was measured: nothing is urgent then, and longer
# pauses make simultaneous polls of many processes rarer.
INITIAL_PROCESS_FACTOR = 4.0
# Maximum share by which a process lengthens a quarantine, chosen at random: one process retries the
# request and publishes the result before the others do.
MAX_QUARANTINE_EXTENSION_SHARE = 0.5
# Pause before background work is restarted after an unexpected exception, seconds.
FAULT_COOLDOWN_SECONDS = 0.2


class GatewayNode:
    """One gateway process: its components, configuration and upstream table.

    Args:
      identity: the identity of the process.
      ports: the external systems and the clients that reach them.
      settings: returns the current settings.
      counters: receives counters and timings.
      log: writes the decision log.
      random: randomizes waits, so that they differ between processes.
      load_settings: returns the current settings for load that exceeds capacity.
    """

    def __init__(
        self,
        identity: GatewayIdentity,
        ports: GatewayPorts,
        settings: Callable[[], GatewaySettings],
        counters: Counters,
        log: Callable[..., None],
        random: Random,
        load_settings: Callable[[], LoadSettings] = LoadSettings,
    ) -> None:
        self._identity = identity
        self._ports = ports
        self._settings = settings
        self._load_settings = load_settings
        self._counters = counters
        self._log = log
        self._random = random
        self._traffic_share = TrafficShare(trio.current_time)
        self._desired: DesiredState | None = None
        self._desired_changed = trio.Event()
        self._upstreams = UpstreamTable(
            trio.current_time,
            self._on_incarnation_ended,
            self._on_incarnation_listed,
            self._on_row_dropped,
        )
        ports.control.set_start_observer(self._on_observed_start)
        self._rate_limits = RateLimitBook(trio.current_time, self._on_limit_change)
        self._notices = NoticeIntake(
            self._upstreams, self._rate_limits, counters.count, log, ports.wall_clock
        )
        ports.control.set_notice_listener(self._notices.apply)
        self._path_choices: dict[str, PathChoice] = {}
        self._healers: dict[str, Healer] = {}
        self._plan_book = PlanBook(ports.table, identity.author)
        self._stopping = False
        rows = ports.rows
        self._peers = Peers(
            ports.peers,
            ports.feed,
            (rows.operator_table, rows.upstream_table, PLAN_TABLE, CRASH_TABLE),
            ports.pool,
            self._poll_wait,
            lambda: self._settings().contact,
            self._change_bounds,
            lambda: self._settings().lost_machines,
            self._on_store_recovered,
            random,
            log,
            counters.gauge,
            counters.count,
        )
        self._reach = ReachSharing(
            self._peers.roster,
            self._peers.gossip,
            self._upstreams,
            ports.control,
            self._services_with_queries,
            lambda service, version: self._endpoint.describe_reach(service, version),
            self._version,
            random,
            counters.count,
            counters.gauge,
            log,
        )
        ports.pool.set_dial_observer(self._on_dial_failure)
        self._crash_watch = self._new_crash_watch()
        self._issuing = Issuing(
            self._rate_limits,
            self._upstreams,
            ports.table,
            identity.author,
            self._peers.roster,
            self._peers.gossip,
            lambda: not self._stopping,
            self._retry_limits,
            counters.count,
            log,
        )
        ports.control.set_admission_check(self._issuing.rates.admit)
        intake = RowIntake(
            rows,
            self._upstreams,
            self._plan_book,
            ports.pool,
            self._apply_desired,
            self._on_plan,
            counters.count,
            log,
        )
        self._operator_feed = self._follow(
            rows.operator_table,
            intake.operator_rows,
            intake.operator_row,
            on_availability=self._on_contact,
            wait=self._poll_wait,
        )
        self._upstream_feed = self._follow(
            rows.upstream_table,
            intake.upstream_rows,
            intake.upstream_row,
            on_availability=self._on_list_contact,
        )
        self._plan_feed = self._follow(PLAN_TABLE, intake.plan_rows, intake.plan_row)
        self._crash_feed = self._follow(
            CRASH_TABLE,
            self._crash_book.apply_snapshot,
            self._crash_book.apply_row,
            on_availability=self._on_list_contact,
        )
        self._lapse_check = LapseCheck(
            self._upstreams, ports.orderer, lambda: self._peers.feed.follows, log
        )
        self._losses = LossSharing(
            load_settings,
            self._peers.roster,
            self._peers.gossip,
            self._upstreams,
            ports.control,
            ports.pool.dial,
            self._watched_services,
            lambda: self._stopping,
            random,
            counters.count,
            log,
            self._reach.own.is_partitioned,
        )
        self._monitor = StallMonitor(
            self._upstreams,
            ports.control,
            self._path_choice,
            self._report_lost_upstream,
            counters.count,
            log,
            OnwardSpread(
                lambda: self._load_settings().onward_spread,
                lambda: self._traffic_share.share,
                random,
            ),
            self._losses.notices,
            self._reach.own.note_unreachable,
        )
        self._losses.register_handler(self._monitor.check_upstream)
        self._retry_budgets = RetryBudgets(self._new_allowance, counters.count, counters.gauge, log)
        self._admission = AdmissionQueues(
            load_settings,
            self._ranks_streams,
            self._path_choice,
            self._upstreams,
            self._traffic_share,
            random,
            counters.count,
            counters.gauge,
            log,
        )
        self._peers.loads.set_listener(self._admission.note_room)
        self._ends = EndCheck(
            self._upstreams,
            ports.control,
            SiblingConnections(ports.pool, counters.count),
            lambda: self._overload.was_paused(),
            counters.count,
            log,
        )
        context = GatewayContext(
            upstreams=self._upstreams,
            notices=self._notices,
            crashes=self._crash_watch,
            ends=self._ends,
            rates=self._issuing.rates,
            dialect=ports.dialect,
            pool=ports.pool,
            monitor=self._monitor,
            path_choice=self._path_choice,
            may_send=self.may_send,
            count=counters.count,
            timing=counters.timing,
            log=log,
            retry_budgets=self._retry_budgets,
            report_loss=self._losses.notices.report,
            admission=self._admission,
            call_balances=CallBalances(
                load_settings, self._traffic_share, trio.current_time, random
            ),
            reachability=self._reach.own,
            new_handover=lambda admitted: Handover(
                self._reach.peers, ports.pool, self._version, admitted, counters.count, log
            ),
        )
        start_wait = StartWait(
            load_settings,
            lambda: self._desired is not None,
            lambda: self._desired_changed.wait(),
            counters.count,
        )
        self._gateway = Gateway(context, lambda: self._desired, identity.domain, start_wait.wait)
        self._endpoint = PeerEndpoint(
            self._peers,
            self._crash_watch,
            lambda: self._gateway,
            self._reach.own,
            self._upstreams,
            self._path_choice,
            lambda: self._desired,
            lambda: not self._stopping and self.may_send(),
            lambda: not self._overload.is_limiting,
            counters.count,
        )
        self._held = HeldBytes(
            load_settings, counters.count, counters.gauge, log, self._gateway.request_seconds
        )
        self._overload = OverloadWatch(
            lambda: self._gateway.requests, counters.count, counters.timing, counters.gauge, log
        )

    def _follow(
        self,
        table: str,
        on_snapshot: Callable[[Sequence[Row]], None],
        on_change: Callable[[str, bytes | None, int], None],
        **options: Callable[..., object],
    ) -> Follower:
        """Return a follower of a table of the store; see `Follower` for the arguments."""
        feed = self._peers.feed
        longest = options.pop("wait", lambda: feed.stalled_reads.long_poll_wait)
        return Follower(
            feed,
            table,
            on_snapshot,
            on_change,
            self._random,
            wait=lambda: feed.wait_for_changes(table, longest()),
            process_factor=self._process_factor,
            is_batched=self._receives_relayed_changes,
            is_paced=self._is_paced,
            **options,
        )

    @property
    def gateway(self) -> Gateway:
        """The handler of callers' requests."""
        return self._gateway

    @property
    def held(self) -> HeldBytes:
        """The bytes held for callers and upstreams that read slowly."""
        return self._held

    @property
    def peers(self) -> Peers:
        """The state shared with the other processes of the site."""
        return self._peers

    @property
    def overload(self) -> OverloadWatch:
        """Whether this process has processor time for more requests."""
        return self._overload

    @property
    def stopping(self) -> bool:
        """Whether the process is shutting down."""
        return self._stopping

    @property
    def ready(self) -> bool:
        """Whether the balancer may send new connections here."""
        if self._stopping or self._desired is None or not self._upstream_feed.is_loaded:
            return False
        return (
            self._configuration_age()
            < self._poll_wait() + self._settings().revocation * POLL_GRACE_SHARE
        )

    @property
    def bounds(self) -> CallerBounds:
        """The limits on callers' message sizes and timeouts."""
        return self._desired.bounds if self._desired is not None else CallerBounds()

    async def handle_peer(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Handle a request from a peer or an operator."""
        await self._endpoint.handle(request, exchange)

    def _services_with_queries(self) -> dict[str, bool]:
        """Return the services, and whether the upstreams of each accept queries."""
        services = self._desired.services.values() if self._desired is not None else ()
        return {each.name: each.model is not None for each in services}

    def _version(self) -> int:
        """Return the version of the desired state, 0 before one is known."""
        return self._desired.version if self._desired is not None else 0

    def stop(self) -> None:
        """Report the process as stopping and not ready; running requests continue."""
        self._stopping = True

    def refuse_new(self) -> None:
        """Refuse every new request and those that find no place now; running ones continue."""
        self._gateway.refuse_new()
        self._admission.stop()

    def may_send(self) -> bool:
        """Return whether the configuration is recent enough for requests that need a key."""
        return self._configuration_age() < self._settings().revocation * MAX_STALENESS_SHARE

    def _configuration_age(self) -> float:
        return trio.current_time() - self._operator_feed.as_of

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            start = partial(nursery.start_soon, self._run_forever)
            self._peers.gossip.register_round_handler(lambda: self._losses.start_if_on(start))
            nursery.start_soon(self._run_forever, self._peers.gossip.run)
            nursery.start_soon(self._run_forever, self._peers.feed.run)
            nursery.start_soon(self._run_forever, self._operator_feed.run)
            nursery.start_soon(self._run_forever, self._upstream_feed.run)
            nursery.start_soon(self._run_forever, self._plan_feed.run)
            nursery.start_soon(self._run_forever, self._crash_feed.run)
            nursery.start_soon(self._run_forever, self._lapse_check.run)
            nursery.start_soon(self._run_forever, self._reach.run)
            nursery.start_soon(self._run_forever, self._monitor.run)
            nursery.start_soon(self._run_forever, self._crash_watch.run)
            nursery.start_soon(self._run_forever, self._issuing.run)
            nursery.start_soon(self._run_forever, self._retry_budgets.run)
            nursery.start_soon(self._run_forever, self._ends.run)
            nursery.start_soon(self._run_forever, self._admission.run)
            nursery.start_soon(self._start_healers, nursery)

    async def watch_readers(self) -> None:
        """End callers that read too slowly, until cancelled; started with their listener."""
        await self._run_forever(self._held.run)

    async def watch_load(self) -> None:
        """Watch the event loop until cancelled; started with the listener of callers."""
        await self._run_forever(self._overload.run)

    async def _run_forever(self, work: Callable[..., Awaitable[None]], *args: object) -> None:
        """Run a background task forever; log its exceptions, which must not end the process."""
        while True:
            try:
                await work(*args)
            except Exception as error:
                self._counters.count("fault")
                self._log("fault", work=work.__qualname__, error="".join(format_exception(error)))
            await trio.sleep(FAULT_COOLDOWN_SECONDS)

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
                        self._plan_book,
                        self._ports.orderer,
                        self._random,
                        self._log,
                        self._planning_rank,
                        self._demand_watch(name).demand,
                        partial(self._reach.own.confirm_contact, name),
                        self._reach.reached_by_peers,
                    )
                    self._healers[name] = healer
                    model = partial(self._model_of, name)
                    nursery.start_soon(self._run_forever, healer.run, model, self._may_heal)
                    nursery.start_soon(self._run_forever, self._path_choice(name).load_watch.run)
            await changed.wait()

    def _poll_wait(self) -> float:
        """Return how long a poll for configuration changes waits at the store, seconds."""
        by_revocation = self._settings().revocation * POLL_WAIT_SHARE
        return min(by_revocation, self._peers.feed.stalled_reads.wait_within_contact)

    def _change_bounds(self) -> Mapping[str, float]:
        """Return the time after which each change of a table must be known here, seconds."""
        settings = self._settings()
        return {
            self._ports.rows.operator_table: min(settings.apply, settings.revocation),
            self._ports.rows.upstream_table: settings.drain,
        }

    def _receives_relayed_changes(self) -> bool:
        """Return whether this process receives changes from peers rather than the store."""
        return not self._peers.feed.follows

    def _is_paced(self) -> bool:
        """Return whether the shared feed decides how often the store is polled."""
        return self._peers.feed.paces_reads

    def _process_factor(self) -> float:
        """Return the number of processes relative to that of a small site."""
        if not self._traffic_share.is_measured:
            return INITIAL_PROCESS_FACTOR
        return self._traffic_share.scale_interval(1.0, SMALL_SITE_TRAFFIC_SHARE)

    def _planning_rank(self, group: Group) -> int:
        """Return how many processes precede this one in planning for a group."""
        domains = {each.domain for each in group.hosts}
        roster = self._peers.roster
        return rank_of(roster.own, roster.live(), domains, group.name)

    def _ranks_streams(self, service: str) -> bool:
        return self._desired is not None and self._desired.ranks_streams(service)

    def _model_of(self, service: str) -> ModelSpec | None:
        spec = self._desired.services.get(service) if self._desired is not None else None
        return spec.model if spec is not None else None

    def _may_heal(self) -> bool:
        # Also during shutdown: no other process may have seen an upstream of this domain fail.
        return self._upstream_feed.is_loaded and self.may_send()

    def _new_crash_watch(self) -> CrashWatch:
        spread = 1.0 + MAX_QUARANTINE_EXTENSION_SHARE * self._random.random()
        evidence = CrashEvidence(trio.current_time, spread)
        parts = PartEvidence(trio.current_time, spread)
        self._crash_book = CrashBook(
            self._ports.table,
            evidence,
            parts,
            lambda: self._peers.feed.follows,
            self._counters.count,
        )
        return CrashWatch(
            evidence,
            parts,
            CrashCheck(self._upstreams, self._ports.control, self._log, self._reach.refutes_end),
            self._crash_book,
            self._peers.gossip,
            self._counters.count,
            self._log,
        )

    def _new_allowance(self, service: str) -> RetryAllowance:
        return RetryAllowance(
            service, self._retry_limits, self._issuing.retries.request, trio.current_time
        )

    def _retry_limits(self) -> RetryLimits:
        settings = self._settings()
        return RetryLimits(settings.retry_ratio, settings.retry_slack, settings.retry_window)

    def _path_choice(self, service: str) -> PathChoice:
        if service not in self._path_choices:
            self._path_choices[service] = PathChoice(
                service,
                self._identity.name,
                self._identity.domain,
                self._upstreams,
                trio.current_time,
                self._ports.control,
                self._traffic_share,
                self._peers.loads,
                lambda: self._peers.feed.follows,
                self._random,
                self._load_settings,
                self._counters.count,
                self._log,
                self._losses.notices.avoided,
            )
        return self._path_choices[service]

    def _watched_services(self) -> list[tuple[str, int]]:
        """Return the services whose upstreams hold layers, with their connection limits."""
        services = self._desired.services.values() if self._desired is not None else ()
        return [(each.name, each.max_connections) for each in services if each.model is not None]

    def _demand_watch(self, service: str) -> DemandWatch:
        return DemandWatch(
            service,
            self._path_choice(service).running_streams,
            self._load_settings,
            trio.current_time,
            self._counters.gauge,
            self._counters.count,
            self._log,
        )

    def _report_lost_upstream(self, domain: str) -> None:
        for healer in self._healers.values():
            healer.record_failure(domain)

    def _on_incarnation_ended(self, older: Upstream) -> None:
        """Drop the state of a superseded incarnation after its upstream restarted."""
        self._rate_limits.forget(older.instance)
        self._counters.count("upstream.restarted")
        self._log("upstream-restarted", instance=older.instance, address=older.address)
        self._ports.pool.close_idle(older.address)
        self._monitor.note_ended(older)
        self._crash_watch.note_ended(older.instance)

    def _on_incarnation_listed(self, upstream: Upstream) -> None:
        """Apply what an incarnation told before its row came."""
        self._notices.on_listed(upstream)

    def _on_limit_change(self, limit: RateLimit, source: str) -> None:
        """Apply a new, changed or ended rate limit."""
        self._upstreams.note_limited(limit.instance, limit.rate is not None)
        self._issuing.rates.on_limit_change(limit, source)

    def _on_row_dropped(self, upstream: Upstream) -> None:
        """Treat the upstream of a dropped row as ended, unless it left or answers."""
        if not upstream.leaving:
            self._crash_watch.note_row_dropped(upstream.instance)

    def _on_dial_failure(self, address: str, failure: ConnectionLostError) -> None:
        """Record that no connection to an address, of an upstream or not, could be opened."""
        # The end of a process closes its connections: one that is open shows that it goes on.
        connections = self._ports.pool.connections(address) if failure.is_refusal else []
        if failure.is_refusal and not any(each.is_open for each in connections):
            self._upstreams.note_refused_connection(address)
        self._reach.own.note_dial_failure(address, failure)

    def _on_observed_start(self, addressed: Upstream, start: int) -> StartOrder:
        """Record the start time in a reply; peers may not know of a newer incarnation yet."""
        listed = self._upstreams.get(addressed.instance) is not None
        observed = self._upstreams.observe_start(addressed, start)
        if listed and observed is StartOrder.NEWER:
            self._report_lost_upstream(addressed.domain)
        return observed

    def _on_store_recovered(self, recovered_at: float | None = None) -> None:
        """Record that the store recovered, now or at a given time."""
        self._upstreams.on_store_recovered(recovered_at)
        self._lapse_check.on_store_recovered()

    def _note_recovery(self) -> None:
        """Record that reads are answered again; rows may have lapsed only if the store was down."""
        if self._peers.feed.was_store_down:
            self._on_store_recovered()

    def _on_list_contact(self, recovered: bool) -> None:
        if recovered:
            self._note_recovery()
            if self._operator_feed.is_store_unavailable:
                # Otherwise its backoff continues, and the configuration stays stale meanwhile.
                self._operator_feed.retry_now()

    def _on_contact(self, recovered: bool) -> None:
        if recovered:
            self._note_recovery()
        for feed in (self._upstream_feed, self._plan_feed, self._crash_feed):
            feed.retry_now()
        self._counters.count("store.regained" if recovered else "store.lost")
        self._log(
            "store-regained" if recovered else "store-lost", age=round(self._configuration_age(), 3)
        )

    def _apply_desired(self, desired: DesiredState) -> None:
        current_version = self._desired.version if self._desired is not None else None
        if current_version is not None and desired.version <= current_version:
            return
        self._desired = desired
        self._desired_changed.set()
        self._desired_changed = trio.Event()
        self._log("configuration", version=desired.version, before=current_version)

    def _on_plan(self, group: str, record: PlanRecord) -> None:
        for service, healer in self._healers.items():
            model = self._model_of(service)
            if model is not None and model.name == record.model:
                healer.on_plan(group, model, record)
