"""Mutants of admission control."""

from dataclasses import replace

import deckcourse.decisions.admission_order as order_module
import deckcourse.gateway.admission_queue as queue_module
import deckcourse.gateway.stream_admission as stream_admission_module
from deckcourse.decisions.admission_order import AccountUse, Arrivals, SharedRoom
from deckcourse.gateway.admission_queue import AdmissionQueue
from deckcourse.gateway.return_schedule import ReturnSchedule
from deckcourse.gateway.stream_admission import StreamAdmission


def waiting_requests_have_no_rank():
    queue_module.rank_of = lambda need, use, now, delivery=0.0: (need.arrived_at,)


def late_requests_keep_their_rank():
    original = order_module.rank_of
    queue_module.rank_of = lambda need, use, now, delivery=0.0: original(need, use, now, -1e9)


def nobody_is_neglected():
    AccountUse.neglected_since = lambda self, need, now: None


def processes_take_all_free_slots():
    SharedRoom.places = lambda self, room: int(self.utilization < room)


def nothing_is_kept_for_urgent_requests():
    Arrivals.reserve = lambda self, priority, duration, now: 0.0


def urgent_requests_wait_for_a_share():
    Arrivals.is_scarce = lambda self, priority, now: True


def leavers_keep_their_place():
    AdmissionQueue.leave = lambda self, ticket: None


def streams_that_end_wake_nobody():
    AdmissionQueue.note_room = lambda self: None
    queue_module.RECHECK_INTERVAL_SECONDS = 10.0


def stopping_forgets_waiting_requests():
    AdmissionQueue.stop = lambda self: None


def queue_has_no_bound():
    AdmissionQueue._refuse_excess = lambda self: None


def retries_are_not_waited_for():
    stream_admission_module.RETRY_INTERVAL_SECONDS = 10.0


def late_refusals_end_the_wait():
    original = StreamAdmission._new_ticket

    def new_ticket(self, path, attempts):
        ticket = original(self, path, attempts)
        if attempts:
            ticket.need = replace(ticket.need, caller_timeout=ticket.need.objective)
        return ticket

    StreamAdmission._new_ticket = new_ticket


def time_at_upstreams_counts_as_load():
    original = StreamAdmission._new_ticket

    def new_ticket(self, path, attempts):
        ticket = original(self, path, attempts)
        ticket.need = replace(ticket.need, asked_after=0.0)
        return ticket

    StreamAdmission._new_ticket = new_ticket


def lesser_requests_take_shares_of_full_paths():
    original = order_module._find_missing_time

    def find(need, prospect, limits, waited):
        if limits.is_short and prospect.shared is not None:
            prospect = replace(prospect, utilization=min(0.99, prospect.utilization))
        return original(need, prospect, limits, waited)

    order_module._find_missing_time = find


def refused_callers_return_at_once():
    ReturnSchedule.take_ranked_slot = (
        lambda self, priority, min_seconds, jitter, max_seconds=6.0: min_seconds
    )


ORDER = ("admission_order",)
QUEUE = ("admission_queue",)
EVERY = {
    waiting_requests_have_no_rank: ("waiting requests begin in the order of their rank", QUEUE),
    late_requests_keep_their_rank: ("requests that are late go behind others", ORDER),
    nobody_is_neglected: ("accounts and sizes that were not served go first", ORDER),
    processes_take_all_free_slots: ("processes share out free slots", ORDER),
    nothing_is_kept_for_urgent_requests: ("capacity is kept for urgent requests", ORDER),
    urgent_requests_wait_for_a_share: ("few urgent requests take any free slot", ORDER),
    leavers_keep_their_place: ("a caller that leaves gives up its place", QUEUE),
    streams_that_end_wake_nobody: ("room wakes waiting requests", QUEUE),
    stopping_forgets_waiting_requests: ("what waits is refused when the process stops", QUEUE),
    queue_has_no_bound: ("the queue is bounded", QUEUE),
    retries_are_not_waited_for: ("a refused request waits for its retry", QUEUE),
    late_refusals_end_the_wait: ("streams that are refused late wait by their rank", QUEUE),
    time_at_upstreams_counts_as_load: ("time at an upstream that refused isn't load", QUEUE),
    lesser_requests_take_shares_of_full_paths: (
        "a path that is full for urgent requests is full for all",
        ORDER,
    ),
    refused_callers_return_at_once: ("refused callers return in turn", ORDER),
}
