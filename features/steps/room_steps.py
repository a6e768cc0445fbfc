"""Steps about the estimate of requests between two reports."""

from behave import given, then, when
from room_world import STREAM_SECONDS, replay_jump

from deckcourse.decisions.room_estimate import unseen_by_free_slots
from deckcourse.gateway.load_watch import OWN_STREAM_WEIGHT

REPORT_SECONDS = 0.6
SEEDS = 4


def by_free_slots(count):
    def unseen(process, now, place):
        requests = sum(each.requests for each in process.loads.values())
        growth = process.own_rate(now) * count - requests / STREAM_SECONDS
        seconds = max(REPORT_SECONDS, now - process.at)
        return unseen_by_free_slots(process.loads, growth * seconds, 1 / count, place)

    return unseen


def by_fixed_weight(count):
    return lambda process, now, place: {
        name: OWN_STREAM_WEIGHT * each.sent for name, each in process.loads.items()
    }


@given("a site of {count:d} processes with two thirds of its slots taken")
def site(context, count):
    context.count = count


@when("its load doubles, and {estimate} fills upstreams up to {fill:g} of their slots")
def load_doubles(context, estimate, fill):
    unseen = {"fixed weight": by_fixed_weight, "free slots": by_free_slots}[estimate](context.count)
    context.shares = [replay_jump(context.count, unseen, fill, seed) for seed in range(SEEDS)]


@then(
    "at most {refused:d} in 100 requests are refused, and {full:d} in 100 find their upstream full"
)
def outcome(context, refused, full):
    found = [100 * sum(each) / SEEDS for each in zip(*context.shares, strict=True)]
    assert found[0] <= refused and found[1] <= full, found
