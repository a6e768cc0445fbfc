"""Mutants of the moves of running streams to other paths."""

import deckcourse.gateway.stream_moves as moves_module
from deckcourse.decisions.gone_hosts import GoneHosts
from deckcourse.gateway.dialect import ProbeResult
from deckcourse.gateway.executions import Executions
from deckcourse.gateway.onward_paths import OnwardPaths
from deckcourse.gateway.repeated_search import RepeatedSearch
from deckcourse.gateway.stalls import StallMonitor
from deckcourse.gateway.stream import StreamCall
from deckcourse.gateway.stream_attempts import StreamAttempt, StreamAttempts
from deckcourse.gateway.stream_retries import StreamRetries
from deckcourse.gateway.upstreams import UpstreamTable


def moves_take_the_cheapest_path():
    moves_module.draw_onward = lambda forecasts, moves, random: min(
        range(len(forecasts)), key=lambda each: forecasts[each].next_event_ms
    )


def gone_hosts_are_forgotten():
    GoneHosts.known = lambda self, now, *evidence: frozenset()


def reports_are_not_verified():
    async def nothing(self, upstream):
        return ProbeResult.DEAD

    StallMonitor._probe_now = nothing


def replicas_are_searched_late():
    OnwardPaths.prepare_one = lambda self, streams: False


def any_upstream_is_allowed():
    Executions.candidates = property(lambda self: None)


def ended_upstreams_count():
    UpstreamTable.has_ended_since = lambda self, instance, since: False


def silent_upstreams_are_left_at_once():
    detach = StreamCall.on_detached

    def detach_and_cancel(self, attempt):
        detach(self, attempt)
        self._attempts.cancel(attempt)

    StreamCall.on_detached = detach_and_cancel


def events_of_all_attempts_count():
    StreamAttempts.take_over = lambda self, attempt: None


def connections_are_never_silent():
    StallMonitor._interrupt_on_silent_connections = lambda self, first, waiting_for: None


def left_upstreams_are_not_used_again():
    StreamAttempt.may_be_replaced = property(lambda self: False)


def earlier_attempts_end_before_the_next_is_accepted():
    start = StreamAttempts.start

    def cancel_and_start(self, path, run):
        for each in self.live:
            if each.instance == path.stages[0].instance:
                self.cancel(each)
        start(self, path, run)

    StreamAttempts.start = cancel_and_start


def accepted_attempts_end_no_earlier_one():
    StreamAttempts.note_accepted = lambda self, attempt: None


def unused_retries_are_lost():
    StreamRetries.close = lambda self: None


def searches_are_not_repeated():
    RepeatedSearch.is_due = lambda self: False


MOVES = ("onward_paths",)
BOUND = ("upstream_bound",)
KEPT = ("kept_attempts",)
EVERY = {
    moves_take_the_cheapest_path: ("moved streams are spread over replicas", MOVES),
    gone_hosts_are_forgotten: ("hosts found to be gone are left out for all streams", MOVES),
    reports_are_not_verified: ("a reported upstream that answers isn't left", MOVES),
    replicas_are_searched_late: ("replicas are searched ahead of a loss", MOVES),
    any_upstream_is_allowed: ("a request stays within the upstreams that its route allows", BOUND),
    silent_upstreams_are_left_at_once: ("a silent upstream is left once another one goes on", KEPT),
    events_of_all_attempts_count: ("one attempt alone continues a response", KEPT),
    connections_are_never_silent: ("a connection that has gone silent is left", KEPT),
    left_upstreams_are_not_used_again: (
        "a stream may return to an upstream that it left for a host behind it",
        KEPT,
    ),
    earlier_attempts_end_before_the_next_is_accepted: (
        "an upstream that answers is left once it accepts the stream again",
        KEPT,
    ),
    accepted_attempts_end_no_earlier_one: ("an upstream works once on a stream", KEPT),
    unused_retries_are_lost: ("a retry that is not used is returned", KEPT),
    searches_are_not_repeated: (
        "a stream at a silent upstream seeks another one again",
        ("failed_searches",),
    ),
    ended_upstreams_count: ("upstreams that ended don't count against that bound", BOUND),
}
