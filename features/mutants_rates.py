"""Mutants of how the rate limits that upstreams announce are enforced."""

import deckcourse.gateway.rate_gate as gate_module
from deckcourse.gateway.rate_gate import RateGate
from deckcourse.gateway.rate_limits import RateLimitBook
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.lease import Lease
from deckcourse.platform.runners import RunnerControl


def rate_limits_are_not_kept():
    RateLimitBook.rate_of = lambda self, instance: None


def each_process_issues_for_itself():
    Lease.held = lambda self: True


def tokens_are_of_use_for_ever():
    gate_module.TOKEN_LIFETIME_SECONDS = 1e6


def questions_need_no_token():
    async def admit(self, instance, purpose):
        return True

    RateGate.admit = admit


def unused_tokens_are_lost():
    async def return_token(self, token):
        token.spend()

    RateGate.return_token = return_token


def processes_that_start_know_no_limits():
    RateGate._merge_stored = lambda self, data: None


def any_answer_ends_a_limit():
    record = RateLimitBook.record

    def eager(self, instance, rate, sent_at, is_control=False):
        record(self, instance, rate, float("inf"), is_control)

    RateLimitBook.record = eager


def throttled_upstreams_are_chosen():
    UpstreamTable.is_available = UpstreamTable.accepts


def a_stall_question_without_token_counts_as_unanswered():
    usual = RunnerControl.query_stalled

    async def stalled(self, upstream):
        report = await usual(self, upstream)
        return report if report is not None and report.was_sent else None

    RunnerControl.query_stalled = stalled


LIMITS = ("rate_limits", "rate_sharing")
EVERY = {
    rate_limits_are_not_kept: ("a rate limit", LIMITS),
    each_process_issues_for_itself: ("one issuer for all processes", LIMITS),
    tokens_are_of_use_for_ever: ("the lifetime of a token", ("rate_sharing",)),
    questions_need_no_token: ("tokens of questions and orders", ("rate_limits",)),
    unused_tokens_are_lost: ("tokens that go back", ("rate_sharing",)),
    processes_that_start_know_no_limits: ("limits kept for processes that start", LIMITS),
    any_answer_ends_a_limit: ("the order of answers", ("rate_sharing",)),
    throttled_upstreams_are_chosen: ("calls go elsewhere at a limit", ("rate_limits",)),
    a_stall_question_without_token_counts_as_unanswered: (
        "a question that could not be asked",
        ("rate_limits",),
    ),
}
