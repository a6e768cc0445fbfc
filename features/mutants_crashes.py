"""Mutants of the mechanisms for upstreams that crash or end, and of the programs' clock."""

import time
from dataclasses import replace

import deckcourse.gateway.lookup as lookup_module
import deckcourse.gateway.stream as stream_module
import deckcourse.host_clock as host_clock
from deckcourse.gateway.crash_book import CrashBook
from deckcourse.gateway.crash_check import PROBE_TIMEOUT_SECONDS, CrashCheck
from deckcourse.gateway.crash_evidence import CrashEvidence
from deckcourse.gateway.crash_watch import AttemptStart, CrashWatch
from deckcourse.gateway.dialect import ProbeResult
from deckcourse.gateway.end_check import EndCheck
from deckcourse.gateway.node import GatewayNode
from deckcourse.gateway.stream_runner import AttemptRunner
from deckcourse.peers.crash import Crash
from deckcourse.peers.gossip import PeerGossip
from deckcourse.plain_service_http import HttpPlainService
from deckcourse.platform.runners import RunnerControl


def requests_that_end_upstreams_go_on():
    stream_module.refuse_quarantined = lambda context, admitted, has_run: None
    lookup_module.refuse_quarantined = lambda context, admitted, has_run: None


def ends_are_kept_in_no_row():
    CrashBook.write = lambda self, crash: None


def others_hear_of_no_end():
    async def publish_crashes(self, crashes):
        """Publish nothing."""

    PeerGossip.publish_crashes = publish_crashes
    CrashBook.write = lambda self, crash: None


def what_ran_well_stays_under_suspicion():
    CrashEvidence.record_success = lambda self, identity: False


def ends_at_the_same_moment_add_up():
    usual = CrashEvidence.record

    def record(self, crash):
        known = self.crashed_instances(crash.identity)
        if crash.instance in known:
            return False
        return usual(self, Crash(crash.identity, crash.instance, len(known)))

    CrashEvidence.record = record


def plain_upstreams_are_asked_questions():
    async def probe_connection(self, upstream, seconds):
        return (await self.probe(upstream, seconds)).result

    RunnerControl.probe_connection = probe_connection


def convicted_requests_are_tried_by_all():
    usual = CrashEvidence.__init__
    CrashEvidence.__init__ = lambda self, clock, spread=1.0: usual(self, clock, 1.0)
    CrashWatch._is_in_trial = lambda self, identity: False


def what_was_cleared_comes_back():
    CrashEvidence.was_just_cleared = lambda self, identity: False


def runs_after_an_end_count():
    def note_ended(self, instance):
        unresolved, _ = self._unresolved.pop(instance, ([], 0.0))
        for broken in unresolved:
            self._record_crash(broken)

    CrashWatch.note_ended = note_ended


def the_end_of_an_upstream_ends_its_answer():
    async def check(self, reply, source):
        """Accept every end of a connection as the end of its answer."""

    EndCheck.check = check


def any_reply_confirms_an_end():
    usual = RunnerControl.probe

    async def probe(self, upstream, seconds):
        reply = await usual(self, upstream, seconds)
        return replace(reply, is_identified=True)

    RunnerControl.probe = probe


def an_accepted_connection_shows_life():
    CrashCheck._connect = lambda self, upstream: self._control.probe_connection(
        upstream, PROBE_TIMEOUT_SECONDS
    )


def a_probe_counts_for_its_own_attempt_alone():
    async def process_break(self, broken):
        try:
            result = await self._check.probe(broken.upstream, broken.has_layers)
            if result is ProbeResult.DEAD:
                self._record_crash(broken)
            elif result is ProbeResult.SILENT:
                self._defer(broken)
        finally:
            broken.probed.set()

    CrashWatch._process_break = process_break


def superseded_first_stages_are_forgotten():
    usual = AttemptRunner.report_interrupted

    async def report_interrupted(self, stream):
        stream.upstream = self._context.upstreams.last_known(stream.path.stages[0].instance)
        await usual(self, stream)

    AttemptRunner.report_interrupted = report_interrupted


def an_answer_of_the_next_start_shows_nothing():
    usual = CrashWatch.record_success
    CrashWatch.record_success = lambda self, admitted, instance, start: usual(
        self, admitted, instance, AttemptStart()
    )


def dropped_rows_end_no_upstream():
    GatewayNode._on_row_dropped = lambda self, upstream: None


def the_end_of_a_plain_service_ends_its_answer():
    async def accepts_connections(self):
        return True

    HttpPlainService._accepts_connections = accepts_connections


def the_clock_stands_in_a_suspension():
    host_clock.CLOCK_ID = time.CLOCK_MONOTONIC


def upstreams_without_rows_have_ended():
    CrashWatch.note_row_dropped = CrashWatch.note_ended


CRASHES = ("crashing_requests",)
EVENTS = ("stream_events",)
EVERY = {
    requests_that_end_upstreams_go_on: ("the refusal of requests that end upstreams", CRASHES),
    upstreams_without_rows_have_ended: (
        "an upstream that answers has not ended, whatever became of its row",
        ("believed_lost",),
    ),
    ends_are_kept_in_no_row: ("the rows of ends", CRASHES),
    others_hear_of_no_end: ("telling others of ends", CRASHES),
    what_ran_well_stays_under_suspicion: ("clearing what ran well", CRASHES),
    ends_at_the_same_moment_add_up: ("ends as a chain", CRASHES),
    plain_upstreams_are_asked_questions: ("asking plain upstreams nothing", CRASHES),
    convicted_requests_are_tried_by_all: ("one trial of a convicted request", CRASHES),
    what_was_cleared_comes_back: ("words that come after a clearing", CRASHES),
    runs_after_an_end_count: ("excluding runs sent after an end", ("crash_evidence",)),
    the_end_of_an_upstream_ends_its_answer: ("checking ends that a connection marks", EVENTS),
    any_reply_confirms_an_end: ("the incarnation that confirms an end", EVENTS),
    an_accepted_connection_shows_life: (
        "deferring what a connection alone can't tell",
        ("crashes_behind_proxies",),
    ),
    a_probe_counts_for_its_own_attempt_alone: (
        "attributing a crash found by a probe to earlier attempts",
        ("crashes_behind_proxies",),
    ),
    superseded_first_stages_are_forgotten: (
        "reporting streams that a restart of their upstream interrupted",
        ("crashes_behind_proxies",),
    ),
    an_answer_of_the_next_start_shows_nothing: (
        "counting crashes of a start whose row isn't known",
        ("crashes_behind_proxies",),
    ),
    dropped_rows_end_no_upstream: (
        "taking upstreams whose rows were dropped for ended",
        ("crashes_behind_proxies",),
    ),
    the_end_of_a_plain_service_ends_its_answer: (
        "checking ends that a connection marks, for the completions interface",
        ("cut_writes_elsewhere",),
    ),
    the_clock_stands_in_a_suspension: ("a clock that counts suspensions", ("suspended",)),
}
