"""Mutants of what processes know of the upstreams that they and their peers reach."""

import trio

from deckcourse.gateway.call_attempts import CallAttempts
from deckcourse.gateway.call_results import LostAnswer
from deckcourse.gateway.executions import Executions
from deckcourse.gateway.handover import Handover
from deckcourse.gateway.part_evidence import PartEvidence
from deckcourse.gateway.reach_sharing import ReachSharing
from deckcourse.gateway.reachability import Reachability
from deckcourse.gateway.reaching_peers import ReachingPeers
from deckcourse.layers.healer import Healer


def nothing_is_handed_over():
    async def choose(self, service, excluded):
        return None

    ReachingPeers.choose = choose


def partitions_go_unnoticed():
    Reachability._begin_partition = lambda self, service, state: None


def calls_out_of_reach_are_ended():
    async def end(self, attempt, is_answer):
        async with trio.open_nursery() as nursery:
            result = await attempt(nursery.cancel_scope.cancel)
        if nursery.cancel_scope.cancelled_caught:
            return LostAnswer("out of reach")
        return result

    CallAttempts.run = end


def a_handed_request_counts_as_not_run():
    Handover.may_run = property(lambda self: False)


def requests_are_sent_out_of_reach():
    Reachability.may_send = lambda self, service: True


def silent_peers_are_waited_for():
    async def is_alive(self, peer):
        return True

    ReachingPeers.is_alive = is_alive


def a_lost_peer_used_no_upstream():
    Executions.note_lost_handover = lambda self, granted, named: None


def plans_follow_own_suspicions():
    async def is_justified(self, group):
        return True

    Healer._is_justified = is_justified


def refusals_to_one_process_end_upstreams():
    async def refutes_end(self, upstream):
        return False

    ReachSharing.refutes_end = refutes_end


def parts_are_not_suspected():
    PartEvidence.record = lambda self, crash: False


def answers_clear_no_part():
    PartEvidence.record_success = lambda self, identities: []


PARTITIONS = ("partitions",)
PARTS = ("deadly_parts",)
EVERY = {
    nothing_is_handed_over: ("a process without upstreams hands requests over", PARTITIONS),
    partitions_go_unnoticed: ("a process knows that it reaches no upstream", PARTITIONS),
    calls_out_of_reach_are_ended: (
        "a call stays at a silent upstream until another attempt has its answer",
        ("silent_calls",),
    ),
    a_handed_request_counts_as_not_run: ("a peer may run what it was handed", PARTITIONS),
    silent_peers_are_waited_for: ("a peer that is silent is left", PARTITIONS),
    a_lost_peer_used_no_upstream: (
        "what a lost peer may have used counts",
        ("upstream_bound",),
    ),
    plans_follow_own_suspicions: ("upstreams that answer a peer are not lost", PARTITIONS),
    refusals_to_one_process_end_upstreams: ("a refusal to one process is no end", PARTITIONS),
    requests_are_sent_out_of_reach: (
        "no request waits for an upstream that is known to be out of reach",
        PARTITIONS,
    ),
    parts_are_not_suspected: ("a part that ends upstreams is quarantined", PARTS),
    answers_clear_no_part: ("a success clears the parts of its prompt", PARTS),
}
