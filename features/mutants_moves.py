"""Mutants of the moves of running streams to other paths."""

import deckcourse.gateway.stream_moves as moves_module
from deckcourse.decisions.gone_hosts import GoneHosts
from deckcourse.gateway.dialect import ProbeResult
from deckcourse.gateway.executions import Executions
from deckcourse.gateway.onward_paths import OnwardPaths
from deckcourse.gateway.stalls import StallMonitor
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


MOVES = ("onward_paths",)
BOUND = ("upstream_bound",)
EVERY = {
    moves_take_the_cheapest_path: ("moved streams are spread over replicas", MOVES),
    gone_hosts_are_forgotten: ("hosts found to be gone are left out for all streams", MOVES),
    reports_are_not_verified: ("a reported upstream that answers isn't left", MOVES),
    replicas_are_searched_late: ("replicas are searched ahead of a loss", MOVES),
    any_upstream_is_allowed: ("a request stays within the upstreams that its route allows", BOUND),
    ended_upstreams_count: ("upstreams that ended don't count against that bound", BOUND),
}
