"""Mutants of the state that processes share, and of path choices under the highest load."""

from contextlib import contextmanager

import trio

import deckcourse.gateway.retry_allowance as allowance_module
import deckcourse.gateway.retry_issuer as issuer_module
import deckcourse.layers.layouts as layouts_module
import deckcourse.peers.relay as relay_module
import deckcourse.peers.store_reads as store_reads_module
from deckcourse.change_feed import LONG_POLL_SECONDS
from deckcourse.decisions import path_draw, path_load, usual_paths
from deckcourse.gateway.retry_allowance import RetryAllowance
from deckcourse.gateway.retry_issuer import RetryIssuer
from deckcourse.layers.healer import Healer
from deckcourse.peers.knowledge import SharedState
from deckcourse.peers.relay import RelayEnd
from deckcourse.peers.reported_changes import ReportedChanges
from deckcourse.peers.roster import Roster
from deckcourse.peers.shared_feed import SharedFeed
from deckcourse.peers.staleness_limits import StalenessLimits
from deckcourse.peers.stalled_reads import StalledReads
from deckcourse.peers.store_reads import _Read
from deckcourse.peers.store_reports import StoreReports
from deckcourse.peers.store_turn import StoreSchedule
from deckcourse.platform.store import Store


def everybody_asks_the_store():
    SharedFeed._may_read_store = lambda self, table: True


def silence_goes_unnoticed():
    relay_module.SILENCE_TIMEOUT_SECONDS = 1000.0


def sources_behind_are_kept():
    original = SharedFeed._reason_to_leave

    def reason(self):
        found = original(self)
        return None if found is RelayEnd.STALE else found

    SharedFeed._reason_to_leave = reason


def frames_count_from_arrival():
    original = SharedState.merge

    def merge(self, frame, origin):
        newest = max((seconds for _, seconds in frame.as_of.values()), default=0.0)
        original(self, frame, trio.current_time() - newest)

    SharedState.merge = merge


def the_dead_live_on():
    Roster._is_newer = lambda self, member, now: True


def one_first_host_a_copy():
    layouts_module.MAX_EXTRA_FIRST_STAGES = 0


def copies_mix_kinds():
    layouts_module.LAYOUT_FUNCTIONS = (layouts_module.interleaved,)


def slow_paths_count_as_fast():
    usual_paths.COST_EXPONENT = 0.0


def pauses_add_up():
    SharedFeed.paces_reads = property(lambda self: False)


def streams_count_as_told():
    path_load.streams_started_at.__code__ = told_as_it_is.__code__


def told_as_it_is(paths, running, passed_by):
    return {path.stages[0].instance: running(path.stages[0].instance) for path in paths}


def the_best_path_always():
    path_draw.draw_path.__code__ = best_path.__code__


def best_path(paths, score, random):
    return min(paths, key=score, default=None)


def plans_are_not_told():
    Healer.on_plan = lambda self, group, model, record: None


def witnesses_hurry_for_good():
    original = Healer._record_planned

    def note_planned(self, group):
        witnessed = set(self._failed_domains)
        original(self, group)
        self._failed_domains = witnessed

    Healer._record_planned = note_planned


def earned_retries_are_free():
    RetryAllowance._earned = lambda self, reserve_share=0.0: 1.0


def every_term_starts_full():
    start_term = RetryIssuer.start_term
    RetryIssuer.start_term = lambda self, now, is_first: start_term(self, now, True)


def grants_last_for_ever():
    allowance_module.GRANT_LIFETIME_SECONDS = 1e6


def a_busy_process_takes_all():
    issuer_module.FAIR_RESERVE_SHARE = 0.0


def late_answers_are_dropped():
    store_reads_module.MAX_LATE_SECONDS = 0.0


def late_answers_add_reads():
    _Read.is_pending = lambda self, now: False


def reads_of_a_late_store_wait():
    SharedFeed._wait_at_store = lambda self, seconds: (
        0.0 if self._schedule.is_unavailable else seconds
    )


def reads_sent_before_an_outage_probe_the_store():
    @contextmanager
    def count_probe(self):
        self._probes += 1
        try:
            yield
        finally:
            self._probes -= 1

    SharedFeed._count_probe = count_probe


def silent_connections_are_an_outage():
    StoreSchedule.was_down = True


def readers_wait_beside_what_the_process_holds():
    StalledReads._is_reader_behind = lambda self, table: False


def reports_of_changes_end_no_read():
    StalledReads._is_behind = lambda self, table, now: False


def a_process_alone_waits_as_long_as_others():
    StalledReads.long_poll_wait = LONG_POLL_SECONDS


def each_process_counts_as_alone():
    ReportedChanges.is_recent = False


def idle_connections_to_the_store_are_kept():
    Store.renew_connections = lambda self: None


def nobody_reads_for_itself():
    StalenessLimits.read_due_at = lambda self, table: float("inf")


def reports_are_ignored():
    StoreReports.is_store_unavailable = False


PEERS = ("peers",)
SILENT_READS = ("silent_reads",)
RETRIES = ("shared_limits", "shared_retries", "shared_slack")
LAYERS = ("layers",)
PATHS = ("path_load",)
BOUNDS = ("change_bounds",)
EVERY = {
    nobody_reads_for_itself: ("what no source confirms is read from the store", BOUNDS),
    reports_are_ignored: ("a store that doesn't answer is asked by few", PEERS),
    everybody_asks_the_store: ("few ask the store for all", PEERS),
    silence_goes_unnoticed: ("a source that is silent is left", PEERS),
    frames_count_from_arrival: ("no moment counts for later than it was", PEERS),
    the_dead_live_on: ("a member lives while its beat rises", PEERS),
    one_first_host_a_copy: ("a copy begins at as many hosts as its memory is worth", LAYERS),
    copies_mix_kinds: ("a copy may be of fast hosts alone", LAYERS),
    slow_paths_count_as_fast: ("processes keep to fast paths", PATHS),
    pauses_add_up: ("one pause stands between questions to a lost store", PEERS),
    streams_count_as_told: ("streams on shared upstreams count once", PATHS),
    the_best_path_always: ("the better of two drawn paths is taken", PATHS),
    plans_are_not_told: ("what another one's plan orders is under way", LAYERS),
    witnesses_hurry_for_good: ("who saw a failure goes first until it is planned for", LAYERS),
    earned_retries_are_free: ("retries have to be earned or granted", RETRIES),
    every_term_starts_full: ("a new issuer starts with nothing", RETRIES),
    grants_last_for_ever: ("grants that are not used end", RETRIES),
    a_busy_process_takes_all: ("what is left goes to those that got nothing", RETRIES),
    late_answers_are_dropped: ("an answer of the store after its timeout is used", PEERS),
    late_answers_add_reads: ("a late answer begins no further read", PEERS),
    reads_of_a_late_store_wait: ("reads of a store that answers late don't wait there", PEERS),
    sources_behind_are_kept: ("a source that is behind is left", PEERS),
    reads_sent_before_an_outage_probe_the_store: (
        "probing an unavailable store beside earlier reads",
        SILENT_READS,
    ),
    silent_connections_are_an_outage: (
        "telling silent connections from an outage of the store",
        SILENT_READS,
    ),
    readers_wait_beside_what_the_process_holds: (
        "giving a waiting reader what its process holds",
        SILENT_READS,
    ),
    reports_of_changes_end_no_read: (
        "giving up reads that others know more than",
        SILENT_READS,
    ),
    a_process_alone_waits_as_long_as_others: (
        "shorter waits at the store without other processes",
        SILENT_READS,
    ),
    each_process_counts_as_alone: (
        "long waits at the store beside other processes",
        SILENT_READS,
    ),
    idle_connections_to_the_store_are_kept: (
        "new connections to the store after an unanswered call",
        SILENT_READS,
    ),
}
