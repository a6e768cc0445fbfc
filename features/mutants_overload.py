"""Mutants of what a process does when it is out of processor time."""

import deckcourse.gateway.server as server_module
import deckcourse.gateway.unread_refusals as unread_refusals_module
import deckcourse.http1.server as http1_server_module
import deckcourse.listener as listener_module
from deckcourse.decisions.concurrency_limit import ConcurrencyLimit


def connections_are_accepted_one_by_one():
    listener_module.MAX_ACCEPTED_AT_ONCE = 1


def requests_are_not_bounded():
    ConcurrencyLimit.admits = lambda self, in_flight: True


def a_bound_stays():
    original = ConcurrencyLimit.note

    def note(self, sample, in_flight, now):
        limit = self._limit
        original(self, sample, in_flight, now)
        self._limit = limit if self._limit is None else self._limit

    ConcurrencyLimit.note = note


def what_lies_in_a_closed_connection_is_not_read():
    async def receive_arrived(self):
        return None

    http1_server_module._Connection._receive_arrived = receive_arrived


def late_connections_are_reset():
    server_module.UNREAD_SHARE = float("inf")


def connections_are_refused_however_early():
    server_module.UNREAD_SHARE = 0.0


def refusals_beyond_the_bound_are_resets():
    unread_refusals_module._refuse_now = lambda connection: False


def the_last_refusals_of_a_late_process_are_cut():
    server_module.MIN_LAST_TURNS = 0


OVERLOAD = ("overload",)
UNREAD = ("unread_connections",)
EVERY = {
    connections_are_accepted_one_by_one: ("waiting connections are accepted at once", OVERLOAD),
    requests_are_not_bounded: ("requests are bounded while the loop is overloaded", OVERLOAD),
    a_bound_stays: ("the bound ends where there is room", OVERLOAD),
    what_lies_in_a_closed_connection_is_not_read: (
        "what lies in an idle connection is read before it is closed",
        UNREAD,
    ),
    the_last_refusals_of_a_late_process_are_cut: ("last refusals get some turns", UNREAD),
    late_connections_are_reset: ("connections that waited for long are refused", UNREAD),
    connections_are_refused_however_early: ("others are reset at once", UNREAD),
    refusals_beyond_the_bound_are_resets: ("refusals beyond the bound are sent at once", UNREAD),
}
