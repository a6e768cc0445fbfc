"""What every request of a gateway works with."""

from collections.abc import Callable
from dataclasses import dataclass, field

from trio import current_time

from deckcourse.gateway.crash_watch import CrashWatch
from deckcourse.gateway.dialect import Dialect
from deckcourse.gateway.notice_intake import NoticeIntake
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.rate_gate import RateGate
from deckcourse.gateway.retry_allowance import RetryAllowance
from deckcourse.gateway.return_schedule import ReturnSchedule
from deckcourse.gateway.stalls import StallMonitor
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.client import ConnectionPool

__all__ = ["GatewayContext"]


@dataclass(frozen=True)
class GatewayContext:
    """The parts that requests share."""

    upstreams: UpstreamTable
    notices: NoticeIntake
    crashes: CrashWatch
    rates: RateGate
    dialect: Dialect
    pool: ConnectionPool
    monitor: StallMonitor
    choices: Callable[[str], PathChoice]
    may_send: Callable[[], bool]
    count: Callable[[str], None]
    timing: Callable[[str, float], None]
    log: Callable[..., None]
    new_allowance: Callable[[], RetryAllowance]
    allowances: dict[str, RetryAllowance] = field(default_factory=dict)
    schedules: dict[str, ReturnSchedule] = field(default_factory=dict)

    def budget(self, service: str) -> RetryAllowance:
        """Return what this process may retry at a service."""
        if service not in self.allowances:
            self.allowances[service] = self.new_allowance()
        return self.allowances[service]

    def returns(self, service: str) -> ReturnSchedule:
        """Return when callers that a service's requests were refused may come back."""
        if service not in self.schedules:
            self.schedules[service] = ReturnSchedule(current_time)
        return self.schedules[service]
