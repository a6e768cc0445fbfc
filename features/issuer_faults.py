"""Faults of processes that need an issuer, and of their store, by the words of scenarios."""

import trio
from returns.result import Failure

from deckcourse.table import TableFailure

__all__ = ["FAULTS", "FAULT_SECONDS"]

FAULT_SECONDS = 6.0


async def third_cut(site):
    site.cut_apart = True
    await trio.sleep(FAULT_SECONDS)
    site.cut_apart = False


async def issuer_cut(site):
    issuer = site.issuers()[0]
    usual = site.medium._is_lost
    site.medium._is_lost = lambda a, b: issuer.address in (a, b) or usual(a, b)
    await trio.sleep(FAULT_SECONDS)
    site.medium._is_lost = usual


async def issuer_without_store(site):
    issuer = site.issuers()[0]
    issuer.store.cut = True
    await trio.sleep(FAULT_SECONDS)
    issuer.store.cut = False


async def issuer_alone(site):
    issuer = site.issuers()[0]
    issuer.store.cut = True
    await issuer_cut(site)
    issuer.store.cut = False


async def store_dark(site):
    site.store.away = True
    await trio.sleep(FAULT_SECONDS)
    site.store.away = False


async def issuer_killed(site):
    issuer = site.issuers()[0]
    issuer.kill()
    site.processes.remove(issuer)
    await trio.sleep(FAULT_SECONDS)


async def issuer_restarts(site):
    site.restart(site.issuers()[0])
    await trio.sleep(FAULT_SECONDS)


async def issuer_stops(site):
    issuer = site.issuers()[0]
    issuer.stopping = True
    await issuer.gossip.announce_leaving()
    await trio.sleep(FAULT_SECONDS)


async def all_restart(site):
    for each in list(site.processes):
        site.restart(each)
    await trio.sleep(FAULT_SECONDS)


async def all_restart_twice(site):
    for _ in range(2):
        await all_restart(site)


async def half_restart(site):
    for each in list(site.processes)[::2]:
        site.restart(each)
        await trio.sleep(0.05)
    await trio.sleep(FAULT_SECONDS)


async def others_join(site):
    for number in range(len(site.processes) // 2):
        site.add(f"z-{number}", "abc"[number % 3])
    await trio.sleep(FAULT_SECONDS)


async def half_leave(site):
    for each in list(site.processes)[::2]:
        each.stopping = True
        await each.gossip.announce_leaving()
        each.kill()
        site.processes.remove(each)
    await trio.sleep(FAULT_SECONDS)


async def all_cut(site):
    usual = site.medium._is_lost
    site.medium._is_lost = lambda a, b: True
    await trio.sleep(2 * FAULT_SECONDS)
    site.medium._is_lost = usual


async def all_alone(site):
    site.store.away = True
    await all_cut(site)
    site.store.away = False


async def answers_lost(site):
    """Make the store execute transactions but lose its replies."""
    usual = site.store.transact

    async def transact(writes):
        await usual(writes)
        return Failure(TableFailure.UNKNOWN)

    site.store.transact = transact
    await trio.sleep(FAULT_SECONDS)
    site.store.transact = usual


FAULTS = {
    "a third is cut off from the others": third_cut,
    "the issuer is cut off from the others": issuer_cut,
    "the issuer loses the store": issuer_without_store,
    "the issuer loses the store and its peers": issuer_alone,
    "the store is dark": store_dark,
    "the issuer is killed": issuer_killed,
    "the issuer is killed and starts again": issuer_restarts,
    "the issuer stops": issuer_stops,
    "all are killed and start again": all_restart,
    "half of them are killed and start again": half_restart,
    "all are killed and start again twice": all_restart_twice,
    "others join": others_join,
    "half of them leave": half_leave,
    "the store is dark and all are cut off from all": all_alone,
    "all are cut off from all": all_cut,
    "the store loses what it answers": answers_lost,
}
