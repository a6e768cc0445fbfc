"""Shares with other processes which upstreams are gone, and verifies what they report.

Load pattern: after a loss each process found out alone, at the cost of refused attempts that the
shared retry budget doesn't have. A process sends what it learns at once to its failure domain and
to two members of each other one; a follower of each domain verifies it and sends the result.

Reports only make new requests avoid an upstream and running streams be checked. They are never
evidence for healing or placement.
"""

from collections import deque
from collections.abc import Callable
from random import Random

import trio

from deckcourse.decisions.loss_reports import ByteAllowance, Evidence, LossBook, ReporterCheck
from deckcourse.gateway.dialect import ProbeResult, StreamControl
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.message import ConnectionLostError, FailureKind
from deckcourse.peers.followers import followers
from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.loss_notice import (
    MAX_ROWS,
    LossNotice,
    LossRow,
    WatchUpdate,
    decode_loss_message,
    encode_loss_message,
)
from deckcourse.peers.member import Member
from deckcourse.peers.roster import Roster
from deckcourse.rendezvous import ranked

__all__ = ["LossNotices", "evidence_of"]

# Time in which reports are gathered for one datagram: the losses of several hosts that fail
# together are seen within a few milliseconds, and a caller's attempt takes longer than this.
BATCH_SECONDS = 0.005
# Batches, own ones and those passed on, in any second.
MAX_BATCHES_PER_SECOND = 20
# Reports that wait for a batch; more are dropped.
MAX_PENDING_ROWS = 64
# Bytes a second and at once: together at most 24 KB in any second, the bound on a process's control
# traffic at 390 processes.
BYTES_PER_SECOND = 8_000
BYTES_AT_ONCE = 16_000
# Members of each other failure domain that get a report and pass it on: one of them may be down.
RECIPIENTS_PER_OTHER_DOMAIN = 2
# Timeouts of a verifier's two probes, as in the stall monitor: a live upstream answers within 3 ms.
PROBE_TIMEOUTS_SECONDS = (0.015, 0.025)
# The next follower verifies if the one before has sent no result in this time, which is longer than
# its probes take and a quarter of the time for which the report is believed.
TAKEOVER_SECONDS = 0.1
# Interval in which a confirmed loss is verified again: it is believed for 1.2 s.
REPEAT_INTERVAL_SECONDS = 0.8
# How long a loss is repeated at most; by then the upstream's row is gone.
MAX_REPEAT_SECONDS = 10.0
# Upstreams that a process verifies at the same time; an upstream that is full is reported often.
MAX_VERIFICATIONS = 16


def evidence_of(failure: ConnectionLostError) -> Evidence | None:
    """Return what a failure to connect shows about the upstream.

    None if nothing: for example, this process may have no descriptors left.
    """
    if failure.kind is not FailureKind.UNSENT:
        return None
    cause = failure.__cause__
    if isinstance(cause, trio.TooSlowError):
        return Evidence.SILENT
    if cause is None or isinstance(cause, ConnectionError):
        return Evidence.UNREACHABLE
    return None


class LossNotices:
    """The shared reports on lost upstreams of one process.

    Args:
      roster: the membership view.
      gossip: sends and receives datagrams.
      upstreams: the upstreams that this process knows.
      control: probes upstreams.
      is_on: returns whether reports are shared, by the current settings.
      random: chooses recipients.
      count: increments the counter of a name.
      log: writes an entry to the decision log.
      is_partitioned: returns whether this process reaches no upstream of a service; it then reports
        and verifies nothing about them.
    """

    def __init__(
        self,
        roster: Roster,
        gossip: PeerGossip,
        upstreams: UpstreamTable,
        control: StreamControl,
        is_on: Callable[[], bool],
        random: Random,
        count: Callable[[str], None],
        log: Callable[..., None],
        is_partitioned: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._roster = roster
        self._gossip = gossip
        self._upstreams = upstreams
        self._control = control
        self._is_on = is_on
        self._random = random
        self._count = count
        self._log = log
        self._is_partitioned = is_partitioned
        self._book = LossBook()
        self._reporters = ReporterCheck()
        # The number of upstreams of each service and failure domain, valid for a change count.
        self._domain_sizes: tuple[int, dict[tuple[str, str], int]] = (-1, {})
        self._bytes = ByteAllowance(BYTES_PER_SECOND, BYTES_AT_ONCE)
        # Rows for the next batches, and whether each is sent to all failure domains.
        self._pending: dict[tuple[str, Evidence], bool] = {}
        self._has_pending = trio.Event()
        self._batches: deque[float] = deque(maxlen=MAX_BATCHES_PER_SECOND)
        self._verifying: set[str] = set()
        self._nursery: trio.Nursery | None = None
        self._on_reported: Callable[[str], None] = lambda instance: None
        self._on_watch_update: Callable[[WatchUpdate], None] = lambda update: None
        gossip.register_loss_handler(self._on_datagram)

    def register_handlers(
        self, on_reported: Callable[[str], None], on_watch_update: Callable[[WatchUpdate], None]
    ) -> None:
        """Register the handlers of what others report.

        Args:
          on_reported: called with each upstream that is probably gone.
          on_watch_update: called with the upstreams whose connections another process watches.
        """
        self._on_reported = on_reported
        self._on_watch_update = on_watch_update

    def report(self, instance: str, evidence: Evidence) -> None:
        """Report what this process observed about an upstream."""
        if not self._is_on():
            return
        upstream = self._upstreams.last_known(instance)
        own = self._roster.own
        if upstream is None or self._upstreams.is_leaving(upstream):
            return  # An upstream that is leaving refuses requests, as announced.
        if self._is_partitioned(upstream.service):
            return
        if self._is_believed(own.name, [(upstream, evidence)]) and self._learn(
            upstream, evidence, own.name, own.domain
        ):
            self._queue(instance, evidence, to_all_domains=evidence is not Evidence.UNANSWERED)

    def report_ended(self, instance: str) -> None:
        """Report that an upstream has ended: its machine refuses connections after a close."""
        self.report(instance, Evidence.ENDED)
        if self.is_confirmed(instance):
            self._start_verifying(instance, REPEAT_INTERVAL_SECONDS)

    def avoided(self) -> frozenset[str]:
        """Return the upstreams that new requests avoid if there are others."""
        return self._book.avoided(trio.current_time()) if self._is_on() else frozenset()

    def is_confirmed(self, instance: str) -> bool:
        """Return whether the loss of an upstream is confirmed."""
        return self._is_on() and self._book.is_confirmed(instance, trio.current_time())

    def has_ended(self, instance: str) -> bool:
        """Return whether an upstream has ended, confirmed by its machine's refusals."""
        return self._is_on() and self._book.has_ended(instance, trio.current_time())

    async def run(self) -> None:
        """Send reports and verify those of others until cancelled."""
        self._verifying.clear()
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                while True:
                    if not self._pending:
                        self._has_pending = trio.Event()
                        await self._has_pending.wait()
                    await trio.sleep(BATCH_SECONDS)
                    await trio.sleep_until(self._next_batch_at())
                    await self._send_batch()
        finally:
            self._nursery = None

    async def send(self, address: str, data: bytes) -> bool:
        """Send a datagram within the bound on bytes; return whether it was sent."""
        if not self._bytes.take(len(data), trio.current_time()):
            self._count("loss-notice.bounded")
            return False
        await self._gossip.send(address, data)
        return True

    def _learn(self, upstream: Upstream, evidence: Evidence, reporter: str, domain: str) -> bool:
        """Apply a report of this process or of another one; return whether it is new.

        Args:
          upstream: the upstream.
          evidence: what was observed.
          reporter: the process that observed it.
          domain: the failure domain of the reporter.
        """
        now = trio.current_time()
        instance = upstream.instance
        if not self._book.add(instance, evidence, reporter, now):
            self._count("loss-notice.known")
            return False
        self._count(f"loss-notice.{evidence.label}")
        self._log(
            "loss-notice",
            instance=instance,
            address=upstream.address,
            evidence=evidence.label,
            reporter=reporter,
        )
        if evidence not in (Evidence.REFUSED, Evidence.STAGE_MISSING, Evidence.ALIVE) and (
            self._book.is_avoided(instance, now)
        ):
            self._on_reported(instance)
        is_result_of_own_domain = evidence.is_result and domain == self._roster.own.domain
        if evidence is not Evidence.ALIVE and not is_result_of_own_domain:
            self._verify_if_follower(instance)
        return True

    def _is_believed(self, reporter: str, rows: list[tuple[Upstream, Evidence]]) -> bool:
        """Return whether a reporter isn't cut off, which the upstreams show that it names."""
        now = trio.current_time()
        for upstream, evidence in rows:
            if evidence is not Evidence.ALIVE:
                size = self._domain_size(upstream)
                self._reporters.note(reporter, upstream.instance, upstream.domain, size, now)
        if not self._reporters.is_isolated(reporter, now):
            return True
        self._count("loss-notice.isolated-reporter")
        self._book.withdraw(reporter)
        if reporter == self._roster.own.name:
            self._pending.clear()
        return False

    def _domain_size(self, upstream: Upstream) -> int:
        """Return the number of upstreams of a service in a failure domain."""
        changes = self._upstreams.change_count
        key = upstream.service, upstream.domain
        if self._domain_sizes[0] != changes:
            self._domain_sizes = changes, {}
        size = self._domain_sizes[1].get(key)
        if size is None:
            rows = self._upstreams.of_service(upstream.service)
            size = sum(each.domain == upstream.domain for each in rows)
            self._domain_sizes[1][key] = size
        return size

    def _queue(self, instance: str, evidence: Evidence, to_all_domains: bool) -> None:
        if len(self._pending) >= MAX_PENDING_ROWS:
            self._count("loss-notice.bounded")
            return
        self._pending[instance, evidence] = to_all_domains
        self._has_pending.set()

    def _next_batch_at(self) -> float:
        if len(self._batches) < MAX_BATCHES_PER_SECOND:
            return trio.current_time()
        return self._batches[0] + 1.0

    async def _send_batch(self) -> None:
        """Send one datagram of rows, except those that others have reported meanwhile."""
        now = trio.current_time()
        own = self._roster.own
        rows: list[LossRow] = []
        rows_for_all: list[LossRow] = []
        while self._pending and len(rows) < MAX_ROWS:
            instance, evidence = next(iter(self._pending))
            to_all_domains = self._pending.pop((instance, evidence))
            if not evidence.is_result and self._book.is_known_from_others(
                instance, evidence, own.name, now
            ):
                self._count("loss-notice.suppressed")
                continue
            rows.append(LossRow(instance, evidence))
            if to_all_domains:
                rows_for_all.append(rows[-1])
        if not rows or not self._is_on():
            return
        self._batches.append(now)
        others = [each for each in self._roster.live() if each.name != own.name]
        await self._send_to(
            [each for each in others if each.domain == own.domain],
            LossNotice(own.name, own.domain, tuple(rows)),
        )
        if rows_for_all:
            notice = LossNotice(own.name, own.domain, tuple(rows_for_all), pass_on=True)
            await self._send_to(self._recipients_elsewhere(others), notice)

    def _recipients_elsewhere(self, others: list[Member]) -> list[Member]:
        by_domain: dict[str, list[Member]] = {}
        for each in others:
            if each.domain != self._roster.own.domain and not each.leaving:
                by_domain.setdefault(each.domain, []).append(each)
        return [
            member
            for members in by_domain.values()
            for member in self._random.sample(
                members, min(RECIPIENTS_PER_OTHER_DOMAIN, len(members))
            )
        ]

    async def _send_to(self, members: list[Member], notice: LossNotice) -> None:
        """Send a notice in random order, so that a bound doesn't always leave out the same ones."""
        data = encode_loss_message(notice)
        self._random.shuffle(members)
        for member in members:
            if not await self.send(member.address, data):
                return
        self._count("loss-notice.sent")

    def _on_datagram(self, data: bytes) -> None:
        if not self._is_on():
            return
        message = decode_loss_message(data)
        if message is None:
            self._count("malformed.loss-notice")
        elif isinstance(message, WatchUpdate):
            self._on_watch_update(message)
        else:
            self._on_notice(message)

    def _on_notice(self, notice: LossNotice) -> None:
        own = self._roster.own
        if notice.reporter == own.name:
            return  # Passed on to its own reporter.
        rows = []
        for row in notice.rows:
            upstream = self._upstreams.last_known(row.instance)
            if upstream is None:
                self._count("loss-notice.unknown-upstream")
            else:
                rows.append((upstream, row.evidence))
        if not self._is_believed(notice.reporter, rows):
            return
        new_rows = [
            LossRow(upstream.instance, evidence)
            for upstream, evidence in rows
            if self._learn(upstream, evidence, notice.reporter, notice.domain)
        ]
        if not notice.pass_on or not new_rows or self._nursery is None:
            return
        now = trio.current_time()
        if self._next_batch_at() > now:
            self._count("loss-notice.bounded")
            return
        self._batches.append(now)
        members = [
            each
            for each in self._roster.live()
            if each.domain == own.domain and each.name not in (own.name, notice.reporter)
        ]
        self._nursery.start_soon(
            self._send_to, members, LossNotice(notice.reporter, notice.domain, tuple(new_rows))
        )

    def _verify_if_follower(self, instance: str) -> None:
        """Verify a report at once, or later if another follower ranks before this process."""
        own = self._roster.own
        names = [each.name for each in followers(self._roster.live(), own.domain)]
        if own.name in names:
            rank = ranked(instance, dict.fromkeys(names, 1.0)).index(own.name)
            self._start_verifying(instance, rank * TAKEOVER_SECONDS)

    def _start_verifying(self, instance: str, delay: float) -> None:
        if self._nursery is None or instance in self._verifying:
            return
        if len(self._verifying) >= MAX_VERIFICATIONS:
            self._count("loss-notice.not-verified")
            return
        self._verifying.add(instance)
        self._nursery.start_soon(self._verify, instance, delay)

    async def _verify(self, instance: str, delay: float) -> None:
        """Probe an upstream and send the result, again and again while its loss is confirmed."""
        until = trio.current_time() + MAX_REPEAT_SECONDS
        try:
            await trio.sleep(delay)
            if self._has_result_of_other_follower(instance):
                return
            while trio.current_time() < until and self._is_on():
                upstream = self._upstreams.get(instance)
                if upstream is None:
                    return
                result = await self._probe(upstream)
                if self._is_partitioned(upstream.service):
                    return
                if result is None or not self._apply_result(upstream, result):
                    return
                await trio.sleep(REPEAT_INTERVAL_SECONDS)
        finally:
            self._verifying.discard(instance)

    def _has_result_of_other_follower(self, instance: str) -> bool:
        own = self._roster.own
        other = self._roster.live_member(self._book.result_by(instance, trio.current_time()))
        return other is not None and other.name != own.name and other.domain == own.domain

    async def _probe(self, upstream: Upstream) -> Evidence | None:
        """Return the result of up to two probes, None if none could be sent."""
        for seconds in PROBE_TIMEOUTS_SECONDS:
            reply = await self._control.probe(upstream, seconds)
            if reply.result is ProbeResult.NOT_SENT:
                return None
            if reply.result is ProbeResult.ALIVE:
                return Evidence.ALIVE
            if reply.result is ProbeResult.DEAD:
                return Evidence.ENDED
        return Evidence.UNANSWERED

    def _apply_result(self, upstream: Upstream, result: Evidence) -> bool:
        """Apply and send the result of own probes; return whether the loss is confirmed.

        Whether an upstream answers may differ between failure domains, so each has a verifier; that
        a machine refuses connections doesn't differ, so that result goes to all of them, once.
        """
        instance = upstream.instance
        own = self._roster.own
        if not self._is_believed(own.name, [(upstream, result)]):
            return False  # This process is isolated: it found most of the domain to be gone.
        is_new = self._learn(upstream, result, own.name, own.domain)
        if result is Evidence.ALIVE:
            self._queue(instance, result, to_all_domains=False)
            return False
        to_all_domains = is_new and result is Evidence.ENDED
        self._queue(instance, result, to_all_domains)
        return True
