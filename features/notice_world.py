"""Upstreams that request a backoff or announce their shutdown, and records of what followed."""

from dataclasses import dataclass, field

import trio
from gateway_story import two_chains
from gateway_world import Got

# The first upstream of each route, which sends the notice.
FIRST = {"stream": "x1", "fragile": "x1", "once": "p1", "again": "p1"}
# Requests that arrive within this time of a response count as sent before it, seconds.
IN_FLIGHT_SECONDS = 0.02
# Maximum response time of a caller that is refused at once, seconds.
IMMEDIATE_SECONDS = 0.01


@dataclass
class Notices:
    """The notices that upstreams sent and the responses to callers, in order of arrival."""

    asked: list = field(default_factory=list)
    got: list[tuple[float, Got]] = field(default_factory=list)
    route: str = "stream"


def site_with_notices(context):
    """Set up two chains and two plain upstreams; the first of each sends the notices."""
    two_chains(context)
    for name in ("p1", "p2"):
        context.site.add(name, "crm")
    for runner in context.site.runners.values():
        runner.accepts_orders = False
        runner.slots = 96
    context.notices = Notices()
    return context.site


def first_upstreams(site):
    """Return the first upstreams of both services."""
    return [site.runners[name] for name in ("x1", "p1")]


async def keep_asking(site, notices, route, seconds, gap=0.05):
    """Send a caller's request every `gap` seconds; return once all have a response."""
    notices.route = route
    until = trio.current_time() + seconds

    async def ask(number):
        began = trio.current_time()
        notices.got.append((began, await site.ask(route, name=f"c{number}")))

    async with trio.open_nursery() as nursery:
        number = 0
        while trio.current_time() < until:
            nursery.start_soon(ask, number)
            number += 1
            await trio.sleep(gap)


def arrivals_during_backoff(site, instance):
    """Return the requests that reached an upstream during a backoff that it requested."""
    return [
        each
        for each in site.received_requests
        if each.instance == instance
        and any(
            asked.at + IN_FLIGHT_SECONDS < each.at < asked.at + asked.seconds
            for asked in site.backoff_notices
            if asked.instance == instance
        )
    ]


def arrivals_after_leaving(site, instance):
    """Return the requests that reached an incarnation after it announced its shutdown."""
    return [
        each
        for each in site.received_requests
        if any(
            told.instance == instance
            and (each.instance, each.start) == (told.instance, told.start)
            and each.at > told.at + IN_FLIGHT_SECONDS
            for told in site.leaving_notices
        )
    ]
