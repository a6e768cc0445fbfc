"""Sends the orders of a plan, each only if the upstream holds the range that the plan assumed.

The order count alone doesn't protect against a stale row: an order that was planned from one and
sent with a current count may exceed the upstream's memory.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import trio

from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.hosts import Assignment

__all__ = ["LayerReport", "OrderOutcome", "OrderResult", "OrderSender", "Orderer"]

# Maximum number of attempts for one order.
MAX_ORDER_ATTEMPTS = 4
# Number of consecutive accepted orders that an upstream drops before orders to it are paused.
MAX_DROPPED_ORDERS = 2
# Maximum age of the state in an upstream's report, seconds.
REPORT_LAG_SECONDS = 0.25


class OrderResult(StrEnum):
    """The result of an order.

    OUTDATED: the upstream doesn't hold the range the plan assumed. UNRELIABLE: it accepted
    previous orders without carrying them out.
    """

    ACCEPTED = "taken"
    HELD = "held"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    OUTDATED = "outdated"
    UNRELIABLE = "unreliable"


@dataclass(frozen=True)
class LayerReport:
    """An upstream's order count and layers at one point in time.

    `orders` is the number of orders accepted. `held` is the range held, its end exclusive, or None
    if the upstream doesn't report it. `busy` is true while an order is in progress.
    """

    orders: int
    held: tuple[int, int] | None = None
    busy: bool = False


@dataclass(frozen=True)
class OrderOutcome:
    """The result of an order, and the report that it was last checked against, if any."""

    result: OrderResult
    report: LayerReport | None = None


class Orderer(Protocol):
    """Sends orders to upstreams and reads their state."""

    async def place(self, upstream: Upstream, assignment: Assignment, orders: int) -> OrderResult:
        """Send an order that the upstream accepts only if it has taken `orders` orders so far."""

    async def order_count(self, upstream: Upstream) -> int | None:
        """Return the number of orders that an upstream has taken, None without an answer."""

    async def layer_report(self, upstream: Upstream) -> LayerReport | None:
        """Return an upstream's order count, layers and busy state, None without an answer."""


class OrderSender:
    """Sends each order with the order count that was reported together with the expected range.

    Args:
      upstreams: the known upstreams and their rate limits.
      orderer: sends orders to upstreams and reads their state.
    """

    def __init__(self, upstreams: UpstreamTable, orderer: Orderer) -> None:
        self._upstreams = upstreams
        self._orderer = orderer
        # The last report of each upstream, updated when it takes an order.
        self._reports: dict[str, LayerReport] = {}
        # The report expected of each upstream after its last accepted order, until a report shows
        # whether the order was carried out.
        self._accepted_orders: dict[str, LayerReport] = {}
        # The number of consecutive accepted orders that each upstream dropped.
        self._dropped_orders: Counter[str] = Counter()

    def keep_only(self, instances: Iterable[str]) -> None:
        """Discard the state kept for all other upstreams."""
        names = set(instances)
        for by_instance in (self._reports, self._accepted_orders, self._dropped_orders):
            for name in by_instance.keys() - names:
                del by_instance[name]

    async def send(
        self,
        row: Upstream,
        assignment: Assignment,
        expected_range: tuple[int, int],
        deadline: float,
    ) -> OrderOutcome:
        """Send an order until it is answered, and once more after a conflict.

        An order without an answer may still be carried out. A retry uses the same order count, so
        that the upstream accepts only one of the two.

        Args:
          row: the upstream.
          assignment: the range that it is to hold.
          expected_range: the range that it held according to its row when the plan was made.
          deadline: the time on trio's clock from which on nothing is sent.
        """
        report = await self._initial_report(row, expected_range)
        result = OrderResult.UNANSWERED
        conflicts = 0
        for _ in range(MAX_ORDER_ATTEMPTS):
            # After a restart the order no longer applies: it was planned for the old incarnation.
            is_known = self._upstreams.get(row.instance) is not None
            if report is None or not is_known or trio.current_time() >= deadline:
                break
            unsent_result = _result_without_sending(report, assignment, expected_range)
            if unsent_result is None and self._dropped_orders[row.instance] >= MAX_DROPPED_ORDERS:
                # Reset the count so that orders are sent again after the caller's pause.
                self._dropped_orders[row.instance] = 0
                unsent_result = OrderResult.UNRELIABLE
            if unsent_result is not None:
                return OrderOutcome(unsent_result, report)
            result = await self._orderer.place(row, assignment, report.orders)
            if result is OrderResult.CONFLICT:
                conflicts += 1
                if conflicts > 1:
                    break
                report = await self._confirmed_report(row, expected_range)
            elif result is not OrderResult.UNANSWERED:
                break
        if result is OrderResult.ACCEPTED and report is not None:
            held = assignment.first, assignment.end
            self._reports[row.instance] = LayerReport(report.orders + 1, held)
            self._accepted_orders[row.instance] = self._reports[row.instance]
        return OrderOutcome(result, report)

    async def _initial_report(
        self, row: Upstream, expected_range: tuple[int, int]
    ) -> LayerReport | None:
        """Return the report to check an order against, cached for rate limited upstreams."""
        if row.end <= row.first:
            # Usually just started; an upstream that has taken an order rejects a count of 0.
            return LayerReport(0, expected_range)
        cached = self._reports.get(row.instance)
        if cached is not None and self._upstreams.throttles.is_limited(row.instance):
            return cached
        return await self._confirmed_report(row, expected_range)

    async def _confirmed_report(
        self, row: Upstream, expected_range: tuple[int, int]
    ) -> LayerReport | None:
        """Return an upstream's report, read again if the first one may predate a change."""
        report = await self._fetch_report(row)
        if report is None or (report.held in (None, expected_range) and not report.busy):
            return report
        await trio.sleep(REPORT_LAG_SECONDS)
        return await self._fetch_report(row)

    async def _fetch_report(self, row: Upstream) -> LayerReport | None:
        report = await self._orderer.layer_report(row)
        self._reports.pop(row.instance, None)
        if report is not None:
            self._reports[row.instance] = report
            self._update_dropped_orders(row.instance, report)
        return report

    def _update_dropped_orders(self, instance: str, report: LayerReport) -> None:
        """Update the number of consecutive dropped orders from an upstream's report.

        The last accepted order was dropped if the upstream counts it, isn't busy and reports
        another range. The number is reset if the upstream holds the ordered range, reports no
        range or has taken further orders.
        """
        accepted = self._accepted_orders.get(instance)
        if accepted is None or report.busy or report.orders < accepted.orders:
            return
        del self._accepted_orders[instance]
        if report.held in (None, accepted.held) or report.orders > accepted.orders:
            self._dropped_orders[instance] = 0
        else:
            self._dropped_orders[instance] += 1


def _result_without_sending(
    report: LayerReport, assignment: Assignment, expected_range: tuple[int, int]
) -> OrderResult | None:
    """Return the result of an order that need not or must not be sent, None if it may be sent.

    While an order is in progress, the reported range doesn't match the order count yet.
    """
    if report.busy:
        return OrderResult.CONFLICT
    if report.held in (None, expected_range):
        return None
    if report.held == (assignment.first, assignment.end):
        return OrderResult.HELD
    return OrderResult.OUTDATED
