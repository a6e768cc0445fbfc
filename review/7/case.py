"""Both processes that follow the store for a failure domain are cut off from it before a change."""

import asyncio
import os
import sys
import time
from itertools import count
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.service import Runner  # noqa: E402 - after the path is set
from standins2.site import BOUNDS, CannotRunError, Entry, Site, desired_state, route  # noqa: E402

ZONES = {"zone-a": 4, "zone-b": 3, "zone-c": 2}
SETTLING_SECONDS = 14.0
CUT_SECONDS = 5.5
ROUNDS = 3
PAUSE_SECONDS = 14.0
CUT_OFF = 2
APPLY_SECONDS = BOUNDS["configApplyMs"] / 1000


async def play(site: Site, has_trouble: bool) -> int:
    """Play all rounds; return how many requests were handled as only an older version allows."""
    for service in ("old-records", "new-records"):
        for zone in ZONES:
            await site.add_runner(Runner(f"i-{service}-{zone}", service, zone))
    services = ["old-records", "new-records"]
    names = [f"moved-{number}" for number in range(ROUNDS)]
    routes = {each: route(each, f"/{each}/", "old-records") for each in names}
    version = 1
    site.store.put_json("op", "config", desired_state(version, list(routes.values()), services))
    await site.start_entries()
    await asyncio.sleep(SETTLING_SECONDS)
    broken = 0
    for name in names:
        cut_off = followers(site)
        if has_trouble:
            for each in cut_off:
                site.store.cut.add(each.name)
                site.record(f"{each.name} is cut from the store")
        await asyncio.sleep(0.05)
        routes[name] = route(name, f"/{name}/", "new-records")
        version += 1
        state = desired_state(version, list(routes.values()), services)
        acked_at = site.store.put_json("op", "config", state)
        site.record(f"version {version} is acknowledged: {name} moves to new-records")
        others = [each for each in site.entries if each not in cut_off]
        broken += await probe(site, others, name, acked_at)
        for each in cut_off:
            if has_trouble:
                site.store.heal()
                site.record(f"{each.name} reaches the store")
        await asyncio.sleep(PAUSE_SECONDS)
    return broken


def followers(site: Site) -> list[Entry]:
    """Return the machines of the first zone that read the platform's store last."""
    entries = [each for each in site.entries if each.zone == "zone-a"]
    entries.sort(key=lambda each: -site.store.read_at.get((each.name, "op"), 0.0))
    return entries[:CUT_OFF]


async def probe(site: Site, entries: list[Entry], name: str, acked_at: float) -> int:
    """Send requests to the entries that run until the others wake; return the broken ones."""
    broken = 0
    numbers = count()
    while time.monotonic() < acked_at + CUT_SECONDS - 0.1:
        sent_after = time.monotonic() - acked_at
        request_id = f"{name}-{next(numbers)}"
        sent = [site.send(each, f"{request_id}-{each.name}", f"/{name}/x") for each in entries]
        for each, reply in zip(entries, await asyncio.gather(*sent), strict=True):
            body = "" if reply is None else reply.body.decode()
            status = 0 if reply is None else reply.status
            is_old = body.startswith("old-records") and sent_after > APPLY_SECONDS
            broken += is_old
            verdict = " BROKEN" if is_old else ""
            site.record(f"{each.name} +{sent_after:.2f} s: {status} {body}{verdict}")
        await asyncio.sleep(0.2)
    return broken


async def main() -> int:
    """Play the case; return the exit code."""
    site = Site(FOLDER, ZONES)
    try:
        broken = await play(site, os.environ.get("TROUBLE", "1") != "0")
        site.record(f"{broken} requests were run by the service that the route had left")
        return 1 if broken else 0
    except CannotRunError as error:
        site.record(f"cannot run: {error}")
        return 2
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
