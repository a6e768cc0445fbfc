"""Mutants of the checks on orders to upstreams."""

import deckcourse.layers.orders as orders_module


def orders_skip_report_check():
    orders_module._result_without_sending = lambda report, assignment, expected_range: None


EVERY = {
    orders_skip_report_check: (
        "an order is checked against its upstream's report",
        ("stale_rows",),
    ),
}
