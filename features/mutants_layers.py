"""Mutants of the checks on orders to upstreams and of the answer timeouts."""

import deckcourse.layers.healer as healer_module
import deckcourse.layers.orders as orders_module
from deckcourse.decisions.answer_times import AnswerTimes


def orders_skip_report_check():
    orders_module._result_without_sending = lambda report, assignment, expected_range: None


def dropped_orders_are_repeated():
    orders_module.MAX_DROPPED_ORDERS = 1_000_000


def answer_timeouts_are_fixed():
    AnswerTimes.timeout = lambda self, base_seconds, now: base_seconds


def loads_count_as_alone():
    healer_module._Pending.slowed_to = lambda self, slowdown: self


EVERY = {
    orders_skip_report_check: (
        "an order is checked against its upstream's report",
        ("stale_rows",),
    ),
    dropped_orders_are_repeated: (
        "orders to an upstream that drops them are paused",
        ("stale_rows",),
    ),
    answer_timeouts_are_fixed: (
        "answer timeouts follow recent answer times",
        ("busy_upstreams",),
    ),
    loads_count_as_alone: (
        "loads of all domains lengthen the wait for an order",
        ("layers",),
    ),
}
