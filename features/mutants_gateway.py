"""Mutants of the gateway; each disables one of its mechanisms."""

import re
from dataclasses import replace
from unittest.mock import patch

import deckcourse.gateway.calls as calls_module
import deckcourse.gateway.events as events_module
import deckcourse.gateway.refusal_backoffs as backoffs_module
import deckcourse.gateway.stream_retries as stream_retries_module
import deckcourse.http1.client as client_module
import deckcourse.http1.server as server_module
import deckcourse.layers.cuts as cuts_module
import deckcourse.layers.healer as healer_module
import deckcourse.layers.orders as orders_module
import deckcourse.layers.path_set as path_set_module
import deckcourse.layers.paths as paths_module
import deckcourse.layers.placement as placement_module
import deckcourse.layers.repair as repair_module
import deckcourse.platform.rows as rows_module
import deckcourse.platform.runners as runners_module
from deckcourse.change_feed import Follower
from deckcourse.decision_log import DecisionLog
from deckcourse.gateway.active_stream import ActiveStream
from deckcourse.gateway.desired import DesiredState
from deckcourse.gateway.events import Event, EventReader
from deckcourse.gateway.known_starts import KnownIncarnations
from deckcourse.gateway.lapse_check import LapseCheck
from deckcourse.gateway.lookup import ServiceCall
from deckcourse.gateway.node import GatewayNode
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.path_loads import PathLoads
from deckcourse.gateway.return_schedule import ReturnSchedule
from deckcourse.gateway.stalls import StallMonitor
from deckcourse.gateway.stream import StreamCall
from deckcourse.gateway.stream_retries import StreamRetries
from deckcourse.gateway.stream_runner import AttemptRunner
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import StartOrder
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.client import UpstreamConnection
from deckcourse.http1.idle_connections import IdleConnections
from deckcourse.http1.message import ConnectionLostError, FailureKind
from deckcourse.http1.pool import ConnectionPool
from deckcourse.layers.healer import Healer
from deckcourse.layers.plan_book import PlanBook
from deckcourse.platform.dialect import PlatformDialect
from deckcourse.platform.runners import RunnerControl


def half_events_go_on():
    EventReader.feed = lambda self, data: [Event(data, 0)]


def any_line_is_an_event():
    events_module._LINES = re.compile(rb"[^\0]*")


def ids_may_repeat():
    EventReader._follows = lambda self, number: True


def comments_are_events():
    original = EventReader._parse_event
    EventReader._parse_event = lambda self, block: (
        Event(block, self._previous or self._last or 1)
        if events_module._COMMENTS.fullmatch(block)
        else original(self, block)
    )


def events_without_bound():
    events_module.MAX_EVENT_BYTES = float("inf")


def joined_answers_pass():
    calls_module._STATUS = re.compile(rb"(?!)")


def no_resume_position():
    original = PlatformDialect.headers_for
    PlatformDialect.headers_for = lambda self, request, dispatch: original(
        self, request, replace(dispatch, last_event=request.last_event)
    )


def no_stall_watch():
    ActiveStream.is_stalled = lambda self, now: False


def no_pulses():
    async def nothing(self, first):
        return None

    StallMonitor._probe_later_stages = nothing


def everybody_behind_is_asked():
    StallMonitor._with_events_since = lambda self, moment: set()


def repeats_everything():
    ServiceCall._may_execute_again = lambda self: True


def never_repeats():
    ServiceCall._may_execute_again = lambda self: False


def resumes_everything():
    StreamRetries.may_run_elsewhere = lambda self: True


def keys_never_age():
    GatewayNode.may_send = lambda self: True


def versions_of_state_fall():
    def take(self, desired):
        self._desired = desired

    GatewayNode._apply_desired = take


def no_lapse_grace():
    UpstreamTable.remove = UpstreamTable._drop


def lapsed_rows_are_as_good():
    original = UpstreamTable.layer_hosts
    UpstreamTable.layer_hosts = lambda self, service: tuple(
        replace(each, lapsing=False) for each in original(self, service)
    )


def nobody_asks_the_lapsed():
    LapseCheck._probe_new = lambda self, nursery: None


def leaving_counts_not():
    original = UpstreamTable.layer_hosts
    UpstreamTable.layer_hosts = lambda self, service: tuple(
        replace(each, usable=not self.is_suspected(each.instance))
        for each in original(self, service)
    )


def forged_headers_pass():
    PlatformDialect._is_dropped = lambda self, header: False


def any_answer_will_do():
    original = PlatformDialect.facts

    def facts(self, reply):
        original_facts = original(self, reply)
        return (
            replace(original_facts, request_id="r1")
            if original_facts.request_id == "another"
            else original_facts
        )

    PlatformDialect.facts = facts


def earlier_answers_come_again():
    original = ConnectionPool._take_idle
    ConnectionPool._take_idle = lambda self, address, longest_idle, unlike: original(
        self, address, longest_idle, None
    )


def control_calls_have_no_id():
    runners_module.REQUEST_ID = b"x-unread"


def nameless_connections_are_kept():
    UpstreamConnection.close_after_call = lambda self: None


def copies_end_the_call():
    async def next_reply(self):
        raise ConnectionLostError(FailureKind.MALFORMED, "a copy")

    UpstreamConnection.next_reply = next_reply


def halves_of_copies_are_waited_for():
    client_module.DUPLICATE_TIMEOUT_SECONDS = 1000.0


def heads_may_merge():
    client_module._is_merged = lambda event: False


def views_outlive_changes():
    def note(self, instance, counts=True):
        self._changes += counts

    UpstreamTable._note_change = note


def plans_without_condition():
    original = PlanBook.claim

    async def claim(self, group, model, assignments):
        key = f"plans/{group}"
        table_row = self._table.rows.get(key)
        self._rows[group] = table_row if table_row is not None else self._rows.get(group)
        return await original(self, group, model, assignments)

    PlanBook.claim = claim


def late_orders():
    healer_module.ORDER_TIMEOUT_SECONDS = 1000.0


def busy_upstreams_pestered():
    healer_module.BUSY_COOLDOWN_SECONDS = 0.0


def crossing_is_cheap():
    paths_module.CROSSING_COST_MS = 0.0


def no_healing():
    async def nothing(self, model):
        return None

    Healer._check = nothing


def nobody_is_moved():
    repair_module.relocate = lambda model, hosts, pending, may_cut, fill: ()


def nothing_is_leveled():
    placement_module.level = lambda model, hosts: ()


def rows_gone_are_forgotten():
    UpstreamTable.last_known = UpstreamTable.get


def refusals_are_forgotten():
    backoffs_module.MAX_REFUSAL_BACKOFF_SECONDS = backoffs_module.REFUSAL_BACKOFF_SECONDS


def memory_has_no_places():
    PathLoads._capacity = lambda self, part: self._upstreams.get(part.instance).slots


def taken_without_retry():
    original = ActiveStream.interrupt

    def interrupt(self, why):
        self.reserve_retry = lambda why, when_granted: True
        return original(self, why)

    ActiveStream.interrupt = interrupt


def interruptions_reach_the_caller():
    original = AttemptRunner._forward_events

    async def pass_on(self, reply, stream, events):
        with stream.interruptible():
            await original(self, reply, stream, events)

    AttemptRunner._forward_events = pass_on


def torn_connections_go_on():
    server_module._Connection._torn = property(lambda self: False, lambda self, value: None)


def suspicions_never_end():
    async def nothing(self, upstream):
        return None

    StallMonitor._confirm_suspicion = nothing


def broken_streams_do_not_wait():
    stream_retries_module.MAX_RETRY_WAIT_SECONDS = 0.0


def orders_are_given_once():
    orders_module.MAX_ORDER_ATTEMPTS = 1


def surplus_bytes_pass():
    UpstreamConnection.is_reusable = lambda self: not self._closing and not self._ended


def no_drain():
    IdleConnections.close_served = lambda self: None


def log_without_bound():
    def log(self, decision, /, **fields):
        self._emit(decision, **fields)

    DecisionLog.log = log


def store_is_never_lost():
    original = Follower._record_answer
    Follower._record_answer = lambda self, as_of: original(self, as_of + 1000.0)


def paths_share_hosts():
    path_set_module.LOAD_WEIGHT = 0.0


def widening_leaps():
    cuts_module._is_joinable = lambda host, first, end, room: (
        max(end, host.end) - min(first, host.first) <= room
    )


def everybody_counts_as_alone():
    TrafficShare.share = property(lambda self: 1.0)


def refused_come_back_together():
    ReturnSchedule.take_slot = lambda self, min_seconds, max_seconds=6.0: min_seconds


def full_paths_are_taken():
    PathChoice._without_overloaded = lambda self, paths: paths


SHARED = ("shared_limits",)


def starts_are_one():
    rows_module.instance_name = lambda runner, start: runner


def older_starts_come_back():
    KnownIncarnations.set_newest = lambda self, name, start: None


def any_start_answers():
    RunnerControl._compare_start = lambda self, asked, born: StartOrder.SAME


def waits_are_not_logged():
    StreamCall._log_deadline = ServiceCall._log_deadline = lambda self: None


def ended_starts_keep_streams():
    StallMonitor.note_ended = lambda self, upstream: None


def ended_starts_keep_connections():
    original = GatewayNode._on_incarnation_ended

    def note_ended(self, older):
        with patch.object(ConnectionPool, "close_idle"):
            original(self, older)

    GatewayNode._on_incarnation_ended = note_ended


GATEWAY = ("gateway",)
LAYERS = ("layers",)
HTTP = ("http1",)
WRITES = ("torn_writes",)
LATE = ("late_answers",)
RESTARTS = ("restarts",)
EVENTS = ("stream_events",)
ACCOUNTS = ("client_accounts",)


def no_account_needs_no_key():
    DesiredState.needs_key = lambda self, route: bool(self.accounts) and not route.public


EVERY = {
    no_account_needs_no_key: ("without any client account no key is valid", ACCOUNTS),
    half_events_go_on: ("only whole events go on", GATEWAY),
    any_line_is_an_event: ("lines of an event begin with a field's name", EVENTS),
    ids_may_repeat: ("ids of a run rise by one", EVENTS),
    comments_are_events: ("comments show no progress", EVENTS),
    events_without_bound: ("an event that never ends is given up", EVENTS),
    joined_answers_pass: ("no other answer stands in a body without a length", EVENTS),
    no_resume_position: ("a stream is resumed behind its last event", GATEWAY),
    no_stall_watch: ("streams that stand still are asked about", GATEWAY),
    no_pulses: ("upstreams of standing streams are asked directly", GATEWAY),
    everybody_behind_is_asked: ("upstreams that another stream passes aren't asked", GATEWAY),
    repeats_everything: ("a call that runs once isn't repeated", GATEWAY),
    never_repeats: ("a call that may be repeated is", GATEWAY),
    resumes_everything: ("a stream that may not be resumed is cut off", GATEWAY),
    keys_never_age: ("nothing is sent under a key that may be gone", GATEWAY),
    versions_of_state_fall: ("an older desired state never replaces a newer one", GATEWAY),
    no_lapse_grace: ("rows that lapsed are kept until the store has been back", GATEWAY),
    views_outlive_changes: ("an upstream is seen as it is after each change", GATEWAY),
    lapsed_rows_are_as_good: ("an upstream whose row lapsed is the last resort", GATEWAY),
    nobody_asks_the_lapsed: ("a lost upstream is told from one whose row lapsed", GATEWAY),
    leaving_counts_not: ("a leaving upstream gets no new work", GATEWAY),
    forged_headers_pass: ("callers can't set the system's headers", GATEWAY),
    any_answer_will_do: ("an answer belongs to its request", GATEWAY),
    earlier_answers_come_again: ("a try never meets an earlier try's answer", LATE),
    control_calls_have_no_id: ("an answer to a control call carries its id", LATE),
    nameless_connections_are_kept: ("no answer without an id is left behind a caller", LATE),
    copies_end_the_call: ("a second answer to an earlier call is passed over", LATE),
    halves_of_copies_are_waited_for: ("a copy that isn't whole isn't waited for", LATE),
    heads_may_merge: ("a head that holds another one is none", LATE),
    plans_without_condition: ("a plan is written under a condition", LAYERS),
    late_orders: ("orders follow their plan at once or not at all", LAYERS),
    busy_upstreams_pestered: ("a busy upstream is left alone", LAYERS),
    crossing_is_cheap: ("paths stay inside a failure domain", LAYERS),
    no_healing: ("a lost layer is loaded elsewhere", GATEWAY),
    nobody_is_moved: ("a gap too wide for its neighbours is closed by one plan", LAYERS),
    nothing_is_leveled: ("no host is left without room for requests", LAYERS),
    rows_gone_are_forgotten: ("a row that is gone is no sign that streams are lost", GATEWAY),
    refusals_are_forgotten: ("who goes on refusing is asked less often", GATEWAY),
    memory_has_no_places: ("the tightest part of a path decides what is refused", GATEWAY),
    taken_without_retry: ("a stream is taken only with a retry in hand", GATEWAY),
    interruptions_reach_the_caller: ("an interruption ends no write to the caller", WRITES),
    torn_connections_go_on: ("nothing follows a write that was cut short", WRITES),
    suspicions_never_end: ("a suspicion ends with an answer", GATEWAY),
    broken_streams_do_not_wait: ("a stream that ran looks for a place", GATEWAY),
    orders_are_given_once: ("an order without an answer is given again", LAYERS),
    surplus_bytes_pass: ("a connection with surplus bytes isn't used again", HTTP),
    no_drain: ("resting connections are closed by the drain", HTTP),
    log_without_bound: ("the log is bounded", HTTP),
    paths_share_hosts: ("paths of one domain share hosts as little as can be", LAYERS),
    widening_leaps: ("who only widens keeps what it holds", LAYERS),
    everybody_counts_as_alone: ("a process measures its part of the traffic", SHARED),
    refused_come_back_together: ("refused callers come back in turn", SHARED),
    full_paths_are_taken: ("a request is refused only where every path is full", GATEWAY),
    waits_are_not_logged: ("the log says what a late request waited for", GATEWAY),
    starts_are_one: ("each start of an upstream is an instance of its own", RESTARTS),
    older_starts_come_back: ("what is said of an older start changes nothing", RESTARTS),
    any_start_answers: ("another start's answer is none", RESTARTS),
    ended_starts_keep_streams: ("a start that ended keeps no streams", RESTARTS),
    ended_starts_keep_connections: ("a start that ended keeps no connections", RESTARTS),
    store_is_never_lost: ("the age of the configuration is known", GATEWAY),
}
