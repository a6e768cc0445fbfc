"""Mutants of the handling of upstreams that request a backoff or announce their shutdown."""

import deckcourse.gateway.lookup as lookup_module
import deckcourse.gateway.stream_runner as stream_runner_module
import deckcourse.platform.notices as notices_module
from deckcourse.gateway.backoffs import Backoffs
from deckcourse.gateway.leaving_incarnations import LeavingIncarnations
from deckcourse.gateway.lookup import ServiceCall
from deckcourse.gateway.notice_intake import NoticeIntake
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.retained_notices import RetainedNotice
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.platform.runners import RunnerControl


def asked_time_is_not_kept():
    UpstreamTable.note_backoff = lambda self, instance, seconds: None


def asked_time_belongs_to_one_start():
    UpstreamTable._name_of = lambda self, instance: instance


def asked_time_can_be_shortened():
    def extend(self, name, seconds):
        self._deadlines[name] = self._clock() + seconds

    Backoffs.extend = extend


def no_look_before_a_request_is_sent():
    stream_runner_module.is_withheld = lambda context, instance: False
    lookup_module.is_withheld = lambda context, instance: False


def callers_come_back_before_there_is_a_path():
    PathChoice.accepts_at = lambda self, model: None


def callers_come_back_before_a_call_is_taken():
    UpstreamTable.accepts_at = lambda self, service: None


def word_of_leaving_is_not_kept():
    UpstreamTable.note_leaving = lambda self, instance: False


def control_answers_ask_for_nothing():
    RunnerControl._apply_notice = lambda self, asked, notice, content, sent_at, connected_at: None


def anybody_speaks_for_an_upstream():
    notices_module.MISDIRECTED = 0


def notices_count_for_the_addressed_incarnation():
    NoticeIntake._apply_to_sender = lambda self, addressed, notice, origin: self._apply_to(
        addressed.instance, notice, origin
    )


def a_row_clears_what_its_incarnation_told():
    NoticeIntake.on_listed = lambda self, upstream: None


def a_backoff_clears_what_was_told_before_a_row():
    on_listed = NoticeIntake.on_listed

    def on_listed_unless_backing_off(self, upstream):
        if self._upstreams.accepts(upstream.instance):
            on_listed(self, upstream)

    NoticeIntake.on_listed = on_listed_unless_backing_off


def the_newest_incarnation_sends_every_response():
    NoticeIntake._latest_start = lambda self, origin: float("inf")


def the_clocks_of_two_machines_agree():
    RetainedNotice.names = lambda self, sender: True


def a_row_without_a_start_is_another_incarnation():
    RetainedNotice.may_be_from_addressed = property(
        lambda self: self.origin.start in (None, self.addressed.start)
    )


def retained_limits_never_end():
    RetainedNotice.ends_limit_of = lambda self, earlier: False


def calls_are_retried_at_a_new_incarnation():
    ServiceCall._not_attempted = lambda self, rows: [
        each for each in rows if each.instance not in self._attempted
    ]


def presumptions_last_for_ever():
    LeavingIncarnations.expire = lambda self, now: []


def ended_incarnations_accept_requests():
    UpstreamTable.has_ended = lambda self, instance: False


def a_backoff_ends_with_its_incarnation():
    def name_of(self, instance):
        row = self.last_known(instance)
        return row.name if row is not None else instance

    UpstreamTable._name_of = name_of


EVERY = {
    asked_time_is_not_kept: ("an upstream's word on time without requests", ("asked_backoff",)),
    asked_time_belongs_to_one_start: ("that word over a restart", ("asked_backoff",)),
    asked_time_can_be_shortened: ("the longest of several such times", ("asked_backoff",)),
    no_look_before_a_request_is_sent: ("the last look before a request", ("asked_backoff",)),
    callers_come_back_before_there_is_a_path: ("when a path opens again", ("asked_backoff",)),
    callers_come_back_before_a_call_is_taken: ("when a service opens again", ("asked_backoff",)),
    word_of_leaving_is_not_kept: ("an upstream's word that it leaves", ("told_leaving",)),
    control_answers_ask_for_nothing: ("the word in control answers", ("asked_backoff",)),
    anybody_speaks_for_an_upstream: ("whose word it is", ("told_leaving",)),
    notices_count_for_the_addressed_incarnation: ("the sender of a notice", ("restart_notices",)),
    a_row_clears_what_its_incarnation_told: ("notices before a row", ("restart_notices",)),
    a_backoff_clears_what_was_told_before_a_row: (
        "notices before a row, while the upstream backs off",
        ("restart_notices",),
    ),
    the_newest_incarnation_sends_every_response: (
        "the connection that a notice came on",
        ("restart_notices",),
    ),
    a_backoff_ends_with_its_incarnation: ("backoffs read after a restart", ("restart_notices",)),
    the_clocks_of_two_machines_agree: (
        "a shutdown whose sender only the clocks tell",
        ("restart_notices",),
    ),
    a_row_without_a_start_is_another_incarnation: (
        "replies that tell more than the row",
        ("restart_notices",),
    ),
    retained_limits_never_end: ("the end of a limit before a row", ("restart_notices",)),
    calls_are_retried_at_a_new_incarnation: (
        "retries of calls around a restart",
        ("restart_notices",),
    ),
    presumptions_last_for_ever: ("the end of a presumed shutdown", ("restart_notices",)),
    ended_incarnations_accept_requests: ("the end of an incarnation", ("restart_notices",)),
}
