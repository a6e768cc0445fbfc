"""Mutants of how a process ends requests: when it stops, and after an error of its own."""

from dataclasses import replace

from hypercorn.trio.tcp_server import TCPServer

import deckcourse.gateway.handover as handover_module
import deckcourse.gateway.server as server_module
import deckcourse.http1.server as http1_server_module
import deckcourse.http_server as http_server_module
from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.stop_bounds import StopBounds
from deckcourse.gateway.stream_admission import StreamAdmission
from deckcourse.http1.idle_connections import IdleConnections
from deckcourse.http1.server import Exchange
from deckcourse.http_server import HttpServer
from deckcourse.reasons import UnknownReason


def a_stop_leaves_requests_unanswered():
    StopBounds.end_unanswered = lambda self: None


def every_exit_takes_as_long():
    server_module.EXIT_RESERVE_SHARE = 1.0


def upstreams_get_their_usual_time():
    Admitted.work_deadline = property(lambda self: self.limit)


def a_stopping_process_takes_any_stream():
    StreamAdmission._outlasts_process = lambda self, path: False


def the_end_of_a_peer_is_final():
    original = handover_module._outcome_of

    def outcome_of(headers, body):
        outcome = original(headers, body)
        if outcome.reason is UnknownReason.STOPPING:
            return replace(outcome, reason=UnknownReason.DEADLINE_PASSED)
        return outcome

    handover_module._outcome_of = outcome_of


def an_entry_stops_without_outcomes():
    StopBounds.end_all = lambda self: None


def an_entry_closes_idle_connections_unread():
    http_server_module._Connection._idle_timeout = TCPServer._idle_timeout


def an_entry_resets_its_accept_queue():
    HttpServer._accept_last = lambda self, listener, nursery: None


def a_late_process_reads_as_little_as_ever():
    http1_server_module.CLOSING_READ_BYTES = http1_server_module.READ_BYTES


def half_read_requests_are_closed_turns_later():
    IdleConnections.close_reading = lambda self: None


def errors_close_connections():
    Exchange.client_gone = property(lambda self: True)


STOP = ("stopping_requests",)
GATEWAY = ("gateway",)
ENTRY = ("entry_stops",)
UNREAD = ("unread_connections",)
EVERY = {
    a_late_process_reads_as_little_as_ever: ("a stopping process reads more in a turn", UNREAD),
    half_read_requests_are_closed_turns_later: ("the end closes at once what it read", UNREAD),
    an_entry_closes_idle_connections_unread: ("an idle connection is read once more", ENTRY),
    an_entry_resets_its_accept_queue: ("an entry accepts what waits before it ends", ENTRY),
    an_entry_stops_without_outcomes: ("an entry's stop ends each request", ENTRY),
    errors_close_connections: ("a request whose handling fails is answered", GATEWAY),
    a_stop_leaves_requests_unanswered: ("a stop ends each request with an outcome", STOP),
    every_exit_takes_as_long: ("a stop cuts nothing before the last part of its time", STOP),
    a_stopping_process_takes_any_stream: ("a stream that a stop would cut is refused", STOP),
    the_end_of_a_peer_is_final: ("what a stopping peer leaves goes on elsewhere", STOP),
    upstreams_get_their_usual_time: ("upstreams are handed the time before a stop", STOP),
}
