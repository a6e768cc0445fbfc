"""Mutants of what a process does with its requests when it stops."""

import deckcourse.gateway.server as server_module
from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.stop_bounds import StopBounds
from deckcourse.gateway.stream_admission import StreamAdmission


def a_stop_leaves_requests_unanswered():
    StopBounds.end_unanswered = lambda self: None


def every_exit_takes_as_long():
    server_module.EXIT_RESERVE_SHARE = 1.0


def upstreams_get_their_usual_time():
    Admitted.work_deadline = property(lambda self: self.limit)


def a_stopping_process_takes_any_stream():
    StreamAdmission._outlasts_process = lambda self, path: False


STOP = ("stopping_requests",)
EVERY = {
    a_stop_leaves_requests_unanswered: ("a stop ends each request with an outcome", STOP),
    every_exit_takes_as_long: ("a stop cuts nothing before the last part of its time", STOP),
    a_stopping_process_takes_any_stream: ("a stream that a stop would cut is refused", STOP),
    upstreams_get_their_usual_time: ("upstreams are handed the time before a stop", STOP),
}
