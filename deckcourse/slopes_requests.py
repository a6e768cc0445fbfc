"""Slopes of what carries requests: tokens, requests, claims and account limits."""

import trio

from deckcourse.background import Background
from deckcourse.claims import Claims
from deckcourse.counters import MemoryCounters
from deckcourse.quota import Quota
from deckcourse.relay_bench import relay_cost
from deckcourse.slope_fit import Slope, fit, least, processor
from deckcourse.table import MemoryTable

__all__ = ["REQUEST_SLOPES"]


def _tokens() -> list[Slope]:
    sizes = (50, 100, 200, 400)
    costs = [trio.run(relay_cost, 4, size) for size in sizes]
    net = [(4 * size, cost.entry - cost.source) for size, cost in zip(sizes, costs, strict=True)]
    return [fit("token through an entry", "s", "token", net)]


def _requests() -> list[Slope]:
    sizes = (10, 20, 40, 80)
    costs = [trio.run(relay_cost, size, 1) for size in sizes]
    net = [(size, cost.entry - cost.source) for size, cost in zip(sizes, costs, strict=True)]
    return [fit("request of one token through an entry", "s", "request", net)]


async def _claim_many(count: int) -> MemoryTable:
    table = MemoryTable()
    background = Background()
    claims = Claims(table, "holder", MemoryCounters(), background)

    async def one(number: int) -> None:
        await claims.claim("account", f"key-{number}", f"attempt-{number}", "digest")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(claims.run)
        async with trio.open_nursery() as inner:
            for number in range(count):
                inner.start_soon(one, number)
        nursery.cancel_scope.cancel()
    return table


def _claims() -> list[Slope]:
    sizes = (200, 400, 800, 1600)
    cpu = [
        (size, least(lambda size=size: processor(lambda: trio.run(_claim_many, size))))
        for size in sizes
    ]
    transactions = [(size, trio.run(_claim_many, size).transactions) for size in sizes]
    return [
        fit("claim, waiting ones together", "s", "claim", cpu),
        fit("transactions for claims that wait together", "transactions", "claim", transactions),
    ]


def _accounts() -> list[Slope]:
    points = []
    for count in (55, 110, 220, 440):
        people = [f"account-{number}" for number in range(count)]
        quota = Quota()
        others = {f"entry-{peer}": dict.fromkeys(people, 1.0) for peer in range(20)}

        def admit(quota=quota, people=people, others=others) -> None:
            for name in people:
                quota.admit(name, 10.0, 1e6, others, 1.0)

        points.append((count, least(lambda admit=admit: processor(admit))))
    return [fit("limit check of each account, 20 peers known", "s", "account", points)]


REQUEST_SLOPES = (_requests, _tokens, _claims, _accounts)
