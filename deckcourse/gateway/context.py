"""What every request of a gateway works with."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property

from trio import current_time

from deckcourse.gateway.crash_watch import CrashWatch
from deckcourse.gateway.desired import AccountSpec, RouteSpec, UpstreamService
from deckcourse.gateway.dialect import CallerRequest, Dialect
from deckcourse.gateway.notice_intake import NoticeIntake
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.request_identity import identity_of
from deckcourse.gateway.retry_allowance import RetryAllowance
from deckcourse.gateway.return_schedule import ReturnSchedule
from deckcourse.gateway.stalls import StallMonitor
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.client import ConnectionPool
from deckcourse.http1.server import Exchange

__all__ = ["Admitted", "GatewayContext"]


@dataclass(frozen=True)
class Admitted:
    """A request that may be served; `deadline` is on trio's clock."""

    caller: CallerRequest
    route: RouteSpec
    service: UpstreamService
    account: AccountSpec | None
    deadline: float
    exchange: Exchange

    @cached_property
    def identity(self) -> str:
        """What ties it to the same request under another id; worked out when first asked for."""
        return identity_of(self.caller, self.account_name)

    @property
    def account_name(self) -> str:
        """The client account's name, empty for a public route."""
        return self.account.name if self.account is not None else ""

    @property
    def priority(self) -> int:
        """The client account's priority, else the route's; 0 goes first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


@dataclass(frozen=True)
class GatewayContext:
    """The parts that requests share."""

    upstreams: UpstreamTable
    notices: NoticeIntake
    crashes: CrashWatch
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
