"""Mutants of leaving, configuration, orders and limits."""

from dataclasses import replace

from mutant_registry import CALL, CONTROL, mutant

import deckcourse.controller as controller_module
import deckcourse.lease as lease_module
from deckcourse.configuration_holder import ConfigurationHolder
from deckcourse.configuration_store import ConfigurationStore
from deckcourse.gossip import Gossip
from deckcourse.lease import Lease
from deckcourse.membership import Membership
from deckcourse.plans import PlanStore
from deckcourse.retry_budget import RetryBudget


@mutant("leaving sticks to an incarnation", "leaving")
def leaving_is_forgotten():
    def listed_as_leaving(self, instance, incarnation):
        line = self._listed.get(instance)
        return line is not None and line.leaving and line.incarnation == incarnation

    Membership.is_leaving = listed_as_leaving


@mutant("the upstream's own sign of leaving counts", "leaving")
def own_sign_is_ignored():
    see_load = Membership.see_load
    Membership.see_load = lambda self, load, now: see_load(self, replace(load, leaving=False), now)
    from deckcourse.engine import EngineRefusal
    from deckcourse.standin_engine import StandinEngine

    refusal = StandinEngine._refusal

    def blind(self, start):
        found = refusal(self, start)
        return None if found == EngineRefusal.LEAVING else found

    # The refusal is the second line of defence; without the sign it alone would hide the lack.
    StandinEngine._refusal = blind


@mutant(
    "what runs dry isn't unloaded on an old report", "planned_stop", "fault_matrix_configuration"
)
def no_drain_wait():
    controller_module.DRAIN_SECONDS = 0.0


@mutant("an instance only applies higher versions", "units", "config")
def versions_may_fall():
    ConfigurationHolder.replace = lambda self, configuration: self._set(configuration)


@mutant("configuration spreads by gossip", "config", "fault_matrix_configuration")
def no_gossip_of_changes():
    message_to = Gossip._message_to

    def bare(self, name):
        return replace(message_to(self, name), changes=(), snapshot=None)

    Gossip._message_to = bare


@mutant("a confirmation is answered once peers have it", "config", "fault_matrix_pairs")
def no_wait_for_peers():
    controller_module.SPREAD_PEERS = 0


@mutant("a new entry isn't ready before it knows the newest version", "config")
def ready_at_once():
    ConfigurationHolder.confirmed = property(lambda self: True)


@mutant("a change is committed on the version that it was made on", *CONTROL)
def no_version_check():
    commit = ConfigurationStore.commit

    async def careless(self, change, writes=()):
        writes = tuple(replace(write, expected=None) for write in writes)
        return await commit(self, change, writes)

    async def replanned(self, plan, configuration, fleet, fresh_name):
        version = configuration.version
        return replace(plan, base=version, change=replace(plan.change, version=version + 1))

    ConfigurationStore.commit = careless
    PlanStore._replanned = replanned


@mutant("a plan's row tells whether its confirmation took effect", *CONTROL)
def confirm_is_not_idempotent():
    try_confirm = PlanStore._try_confirm

    async def forgetful(self, name, known, fleet, fresh_name):
        rows = await self._table.read([f"plan/{name}"])
        row = rows.value_or((None,))[0]
        if row is not None and b'"confirmed"' in row.value:
            value = row.value.replace(b'"confirmed"', b'"proposed"')
            from deckcourse.table import Write

            await self._table.transact([Write(row.key, value, row.version)])
        return await try_confirm(self, name, known, fleet, fresh_name)

    PlanStore._try_confirm = forgetful


@mutant("orders need a lease that outlasts them", *CONTROL)
def no_lease_margin():
    Lease.held = lambda self: self._epoch > 0
    Lease.order_deadline = property(lambda self: float("inf"))
    controller_module.ORDER_SECONDS = float("inf")


@mutant("a successor waits out the holder's term", *CONTROL)
def no_takeover_wait():
    lease_module.TERM_SECONDS = 6.0
    on_row = Lease._on_row

    async def eager(self, row, asked_at):
        self._free_at = float("-inf")
        if row is not None:
            import msgspec

            self._seen = msgspec.json.decode(row.value, type=lease_module.LeaseRecord)
        await on_row(self, row, asked_at)

    Lease._on_row = eager


@mutant("the holder asks missing runners itself", "fault_matrix_twice", "orders")
def no_look_for_missing():
    async def nothing(self):
        return None

    controller_module.Controller._look_for_missing = nothing
    controller_module.MOST_LOST = 1.0


@mutant("a holder that lost sight of most runners drops none", "orders", "fault_matrix_control")
def no_blind_check():
    controller_module.MOST_LOST = 1.0


@mutant("each holder of the lease has an epoch of its own", *CONTROL)
def epochs_do_not_rise():
    write = Lease._write

    async def same(self, row, epoch, renewal, asked_at):
        await write(self, row, 1, renewal, asked_at)

    Lease._write = same


@mutant("orders carry a sequence that rises", *CONTROL)
def no_sequence():
    Lease.next_sequence = lambda self: 1


@mutant("the table's transactions check versions (a stand-in's mutant: claims rest on it)", *CALL)
def table_checks_nothing():
    from deckcourse.table import MemoryTable

    MemoryTable._matches = lambda self, write: True


@mutant("a retry budget bounds retries", "units")
def no_retry_budget():
    RetryBudget.spend = lambda self: True


@mutant("an account's limit is shared by demand", "quota")
def no_quota_shares():
    from deckcourse.quota import Quota

    Quota._share = lambda self, account, others, now: 1.0


@mutant("an account's limit follows demand, it isn't split evenly", "quota")
def even_quota_shares():
    from deckcourse.quota import Quota

    Quota._share = lambda self, account, others, now: 1.0 / (1 + len(others))


@mutant("what can't start in time is refused on arrival", "admission")
def no_refusal_on_arrival():
    from deckcourse.admission import Admission

    Admission._refuse_on_arrival = lambda self, request, now: None


@mutant("a large account can't starve a small one", "admission")
def no_fair_shares():
    from deckcourse.admission import Admission

    Admission._use = lambda self, account, now: 0.0


@mutant("more worth for each token goes first", "admission")
def no_worth():
    from deckcourse.admission import Admission

    Admission._rank = lambda self, request, now: 0.0
