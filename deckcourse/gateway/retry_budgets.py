"""The retry allowances of one process, one for each service, and what it reports about them.

Added up over all processes, the reports show how much of the shared budget was used.
"""

from collections.abc import Callable

import trio

from deckcourse.gateway.retry_allowance import RetryAllowance

__all__ = ["RetryBudgets"]

# Interval between two reports, seconds. Services without retries in it aren't reported.
REPORT_INTERVAL_SECONDS = 1.0


class RetryBudgets:
    """The retry allowances of one process.

    Args:
      new_allowance: returns the allowance of a service.
      count: adds to a counter by name.
      gauge: sets a gauge by name.
      log: writes the decision log.
    """

    def __init__(
        self,
        new_allowance: Callable[[str], RetryAllowance],
        count: Callable[[str, int], None],
        gauge: Callable[[str, float], None],
        log: Callable[..., None],
    ) -> None:
        self._new_allowance = new_allowance
        self._count = count
        self._gauge = gauge
        self._log = log
        self._allowances: dict[str, RetryAllowance] = {}
        self._added = trio.Event()

    def of(self, service: str) -> RetryAllowance:
        """Return the allowance of a service."""
        if service not in self._allowances:
            self._allowances[service] = self._new_allowance(service)
            self._added.set()
        return self._allowances[service]

    async def run(self) -> None:
        """Run and report the allowances until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_reports)
            running: set[str] = set()
            while True:
                self._added = trio.Event()
                for service in self._allowances.keys() - running:
                    running.add(service)
                    nursery.start_soon(self._allowances[service].run)
                await self._added.wait()

    async def _run_reports(self) -> None:
        while True:
            await trio.sleep(REPORT_INTERVAL_SECONDS)
            for service, allowance in self._allowances.items():
                self._report(service, allowance)

    def _report(self, service: str, allowance: RetryAllowance) -> None:
        tally = allowance.take_tally()
        self._gauge(f"retry.balance.{service}", allowance.balance)
        if not tally.retries and not tally.denied:
            return
        self._count("retry.spent", max(0, tally.retries))
        self._count("retry.granted", tally.granted)
        self._count("retry.denied", tally.denied)
        self._log(
            "retry-budget",
            service=service,
            requests=tally.requests,
            retries=tally.retries,
            denied=tally.denied,
            granted=tally.granted,
            balance=round(allowance.balance, 2),
        )
