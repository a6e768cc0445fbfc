"""Mutants of the choice of paths while load exceeds capacity."""

import deckcourse.decisions.domain_choice as domain_choice_module
import deckcourse.gateway.call_balances as call_balances_module
import deckcourse.gateway.domain_routing as domain_routing_module
import deckcourse.gateway.path_loads as path_loads_module
from deckcourse.decisions.call_balance import CallBalance
from deckcourse.decisions.domain_choice import InterruptedStreams
from deckcourse.gateway.load_watch import OWN_STREAM_WEIGHT, LoadWatch
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.unseen_requests import UnseenRequests


def domains_are_not_forecast():
    original = PathChoice.choose
    PathChoice.choose = lambda self, model, avoid, *_limits, **_options: original(
        self, model, avoid
    )


def interrupted_streams_are_forgotten():
    InterruptedStreams.note = lambda self, *streams: None


def old_stream_counts_show_losses():
    domain_routing_module.KNOWN_TTL_SECONDS = float("inf")


def requests_count_at_each_choice():
    original = PathChoice.choose

    def choose(self, *arguments, **options):
        self.load_watch._unseen.note_request()
        return original(self, *arguments, **options)

    PathChoice.choose = choose


def other_domains_take_everything():
    domain_routing_module.free_share = lambda free, requests: 1.0


def requests_return_at_once():
    domain_choice_module.RETURN_STRAIN = domain_choice_module.LEAVE_STRAIN
    domain_choice_module.FAST_RETURN = float("inf")


def stream_counts_are_not_kept():
    path_loads_module.COUNTS_TTL_SECONDS = 0.0


def late_answers_show_no_queue():
    CallBalance.queued_per_slot = lambda self, upstream, now: 0.0


def calls_take_the_first_upstream():
    call_balances_module.draw_least_loaded = lambda loads, slots, random: min(loads, key=loads.get)


def unseen_requests_do_not_count():
    UnseenRequests.estimate = lambda self, sent, version: None


def admission_takes_off_a_fixed_weight():
    LoadWatch.unreported = lambda self, instance: OWN_STREAM_WEIGHT * self.sent(instance)


def requests_have_no_place():
    UnseenRequests.note_request = lambda self: self._requests.add(self._clock())


DOMAINS = ("domain_choice",)
ROOM = ("room_estimate",)
EVERY = {
    domains_are_not_forecast: ("domains are chosen by predicted times", DOMAINS),
    interrupted_streams_are_forgotten: ("interrupted streams count where they restart", DOMAINS),
    old_stream_counts_show_losses: ("only recent stream counts show a loss", DOMAINS),
    requests_count_at_each_choice: ("a request counts once", DOMAINS),
    other_domains_take_everything: ("requests leave as far as others have room", DOMAINS),
    requests_return_at_once: ("requests return to their domain gradually", DOMAINS),
    late_answers_show_no_queue: ("late answers tell of other processes' calls", DOMAINS),
    calls_take_the_first_upstream: ("processes draw between equal upstreams", DOMAINS),
    unseen_requests_do_not_count: ("requests between reports are estimated", ROOM),
    admission_takes_off_a_fixed_weight: ("admission takes off what the estimate adds", ROOM),
    requests_have_no_place: ("each request has a place among those of all processes", ROOM),
    stream_counts_are_not_kept: ("streams are counted once a choice", ("decision_work",)),
}
