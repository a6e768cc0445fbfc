"""Mutants of what connections to upstreams show: the ends of answers, and silence."""

from weakref import WeakSet

import trio

import deckcourse.gateway.handover as handover_module
from deckcourse.gateway.end_check import EndCheck
from deckcourse.gateway.health_queries import HealthQueries
from deckcourse.gateway.sibling_connections import SiblingConnections
from deckcourse.http1.pool import ConnectionPool
from deckcourse.loop_monitor import LoopMonitor


def no_connection_shows_that_an_upstream_goes_on():
    async def outlive(self, connection, max_silence_seconds=2.0):
        return False

    SiblingConnections.outlive = outlive


def connections_of_any_process_are_siblings():
    def compare(self, connection):
        for other in self._pool.connections(connection.address):
            if other is not connection:
                self._siblings.setdefault(connection, WeakSet()).add(other)
                self._siblings.setdefault(other, WeakSet()).add(connection)

    SiblingConnections._compare = compare


def siblings_count_at_once():
    async def outlive(self, connection, max_silence_seconds=2.0):
        return any(each.is_open for each in self._siblings.get(connection, ()))

    SiblingConnections.outlive = outlive


def health_queries_give_up_early():
    usual = HealthQueries.query
    HealthQueries.query = lambda self, upstream, path, deadline: usual(
        self, upstream, path, trio.current_time() + 0.3
    )


def a_pause_of_this_process_is_not_noticed():
    LoopMonitor.was_paused = lambda self: False


def no_spare_connections_are_opened():
    async def open_spare(self, address):
        """Open nothing."""

    SiblingConnections._open_spare = open_spare


def no_witnesses_are_opened():
    async def open_witness(self, address):
        """Open nothing."""

    SiblingConnections._open_witness = open_witness


def accepted_connections_show_that_an_upstream_goes_on():
    usual = EndCheck._check_unaskable

    async def check(self, reply, upstream, was_paused):
        result, evidence = await usual(self, reply, upstream, was_paused)
        if evidence == "none" and not was_paused:
            return await self._control.probe_connection(upstream, 0.3), "connect"
        return result, evidence

    EndCheck._check_unaskable = check


def idle_connections_outlast_a_silent_one():
    ConnectionPool._close_quiet = lambda self, address, since: None


def slow_calls_close_all_idle_connections():
    ConnectionPool._close_quiet = lambda self, address, since: self.close_idle(address)


def requests_are_handed_over_on_old_connections():
    handover_module.MAX_IDLE_SECONDS = 60.0


EVERY = {
    requests_are_handed_over_on_old_connections: (
        "handing requests over on connections that were used lately",
        ("silent_connections",),
    ),
    idle_connections_outlast_a_silent_one: (
        "closing idle connections behind a call on a silent one",
        ("silent_connections",),
    ),
    slow_calls_close_all_idle_connections: (
        "keeping connections that were used meanwhile",
        ("silent_connections",),
    ),
    no_connection_shows_that_an_upstream_goes_on: (
        "other connections as evidence of a running upstream",
        ("unframed_ends",),
    ),
    connections_of_any_process_are_siblings: (
        "comparing connections while both are open",
        ("unframed_ends",),
    ),
    siblings_count_at_once: (
        "waiting for the close of the other connections",
        ("unframed_ends",),
    ),
    no_spare_connections_are_opened: (
        "spare connections beside answers without a length",
        ("unframed_ends",),
    ),
    health_queries_give_up_early: (
        "health queries that wait for a slot",
        ("unframed_ends",),
    ),
    a_pause_of_this_process_is_not_noticed: (
        "distrusting accepted connections after a pause",
        ("unframed_ends", "cut_writes_elsewhere"),
    ),
    no_witnesses_are_opened: (
        "witnesses beside upstreams that can't be asked",
        ("unframed_ends",),
    ),
    accepted_connections_show_that_an_upstream_goes_on: (
        "distrusting accepted connections",
        ("unframed_ends", "stream_events"),
    ),
}
