"""The objects that all requests of a gateway share."""

from collections.abc import Callable
from dataclasses import dataclass, field

from trio import current_time

from deckcourse.decisions.loss_reports import Evidence
from deckcourse.gateway.admission_queues import AdmissionQueues
from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.call_balances import CallBalances
from deckcourse.gateway.crash_watch import CrashWatch
from deckcourse.gateway.dialect import Dialect
from deckcourse.gateway.end_check import EndCheck
from deckcourse.gateway.handover import Handover
from deckcourse.gateway.notice_intake import NoticeIntake
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.rate_gate import RateGate
from deckcourse.gateway.reachability import Reachability
from deckcourse.gateway.retry_allowance import RetryAllowance
from deckcourse.gateway.retry_budgets import RetryBudgets
from deckcourse.gateway.return_schedule import ReturnSchedule
from deckcourse.gateway.stalls import StallMonitor
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.pool import ConnectionPool

__all__ = ["GatewayContext"]


@dataclass(frozen=True)
class GatewayContext:
    """The objects and callbacks that all requests of a gateway share."""

    upstreams: UpstreamTable
    notices: NoticeIntake
    crashes: CrashWatch
    ends: EndCheck
    rates: RateGate
    dialect: Dialect
    pool: ConnectionPool
    monitor: StallMonitor
    path_choice: Callable[[str], PathChoice]
    may_send: Callable[[], bool]
    count: Callable[[str], None]
    timing: Callable[[str, float], None]
    log: Callable[..., None]
    retry_budgets: RetryBudgets
    admission: AdmissionQueues
    call_balances: CallBalances
    reachability: Reachability
    new_handover: Callable[[Admitted], Handover]
    schedules: dict[str, ReturnSchedule] = field(default_factory=dict)
    report_loss: Callable[[str, Evidence], None] = lambda instance, evidence: None

    def budget(self, service: str) -> RetryAllowance:
        """Return this process's retry budget at a service."""
        return self.retry_budgets.of(service)

    def return_schedule(self, service: str) -> ReturnSchedule:
        """Return the schedule by which refused callers of a service may return."""
        if service not in self.schedules:
            self.schedules[service] = ReturnSchedule(current_time)
        return self.schedules[service]
