"""Cost measurements of the request path: tokens, requests, claims and account rate limits."""

import trio

from deckcourse.background import Background
from deckcourse.claims import Claims
from deckcourse.counters import MemoryCounters
from deckcourse.quota import Quota
from deckcourse.relay_bench import measure_relay_cost
from deckcourse.slope_fit import Slope, cpu_seconds, fit_line, min_of_repeats
from deckcourse.table import MemoryTable

__all__ = ["REQUEST_SLOPES"]


def _measure_tokens() -> list[Slope]:
    sizes = (50, 100, 200, 400)
    costs = [trio.run(measure_relay_cost, 4, size) for size in sizes]
    points = [(4 * size, cost.entry - cost.source) for size, cost in zip(sizes, costs, strict=True)]
    return [fit_line("token through an entry", "s", "token", points)]


def _measure_requests() -> list[Slope]:
    sizes = (10, 20, 40, 80)
    costs = [trio.run(measure_relay_cost, size, 1) for size in sizes]
    points = [(size, cost.entry - cost.source) for size, cost in zip(sizes, costs, strict=True)]
    return [fit_line("request of one token through an entry", "s", "request", points)]


async def _run_claims(count: int) -> MemoryTable:
    table = MemoryTable()
    background = Background()
    claims = Claims(table, "holder", MemoryCounters(), background)

    async def claim_one(number: int) -> None:
        await claims.claim("account", f"key-{number}", f"attempt-{number}", "digest")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(claims.run)
        async with trio.open_nursery() as claim_nursery:
            for number in range(count):
                claim_nursery.start_soon(claim_one, number)
        nursery.cancel_scope.cancel()
    return table


def _measure_claims() -> list[Slope]:
    sizes = (200, 400, 800, 1600)
    cpu_points = [
        (size, min_of_repeats(lambda size=size: cpu_seconds(lambda: trio.run(_run_claims, size))))
        for size in sizes
    ]
    transactions = [(size, trio.run(_run_claims, size).transactions) for size in sizes]
    return [
        fit_line("claim, waiting ones together", "s", "claim", cpu_points),
        fit_line(
            "transactions for claims that wait together", "transactions", "claim", transactions
        ),
    ]


def _measure_accounts() -> list[Slope]:
    points = []
    for count in (55, 110, 220, 440):
        account_names = [f"account-{number}" for number in range(count)]
        quota = Quota()
        peer_demand = {f"entry-{peer}": dict.fromkeys(account_names, 1.0) for peer in range(20)}

        def admit(quota=quota, account_names=account_names, peer_demand=peer_demand) -> None:
            for name in account_names:
                quota.admit(name, 10.0, 1e6, peer_demand, 1.0)

        points.append((count, min_of_repeats(lambda admit=admit: cpu_seconds(admit))))
    return [fit_line("limit check of each account, 20 peers known", "s", "account", points)]


REQUEST_SLOPES = (_measure_requests, _measure_tokens, _measure_claims, _measure_accounts)
