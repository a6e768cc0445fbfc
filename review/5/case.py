"""The last client account is taken away: the keys that it had must open nothing from then on."""

import asyncio
import os
import sys
import time
from itertools import count
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.service import Runner  # noqa: E402 - after the path is set
from standins2.site import BOUNDS, CannotRunError, Site, desired_state, route  # noqa: E402

ZONES = {"zone-a": 1, "zone-b": 1, "zone-c": 1}
SERVICE = "records"
HELD_KEY = "n2ctnfzs989anu6wsjnb"
NEVER_HELD_KEY = "anfqasnmgkcuyj8pjbvk"
USUAL_SECONDS = 5.0
JUDGED_SECONDS = 6.0
REVOKE_SECONDS = BOUNDS["revokeMs"] / 1000


async def play(site: Site, has_trouble: bool) -> int:
    """Play the case; return how many requests ran that no key allowed."""
    for zone in ZONES:
        await site.add_runner(Runner(f"i-{zone}", SERVICE, zone))
    tenant = {"name": "hule930", "apiKeys": [HELD_KEY], "priority": 1}
    routes = [
        route("lookup", "/lookup/", SERVICE),
        route("log", "/log/", SERVICE, "non_idempotent"),
    ]
    site.store.put_json("op", "config", desired_state(1, routes, [SERVICE], [tenant]))
    await site.start_entries()
    numbers = count()
    sent: dict[str, tuple[float, str]] = {}
    await send_for(site, USUAL_SECONDS, numbers, sent)
    tenants = [] if has_trouble else [tenant]
    acked_at = site.store.put_json("op", "config", desired_state(2, routes, [SERVICE], tenants))
    site.record(f"version 2 is acknowledged; its tenants: {tenants}")
    await send_for(site, REVOKE_SECONDS + JUDGED_SECONDS, numbers, sent)
    broken = 0
    for runner in site.runners:
        for _, request_id, path, account in runner.runs:
            sent_at, key = sent[request_id]
            late = sent_at - acked_at
            is_revoked = has_trouble and key == HELD_KEY and late > REVOKE_SECONDS
            if is_revoked or key == NEVER_HELD_KEY:
                broken += 1
                site.record(
                    f"{runner.name} ran {request_id} {path}, tenant {account!r}, key {key}, "
                    f"sent {late:+.2f} s after the ack: BROKEN"
                )
    return broken


async def send_for(
    site: Site, seconds: float, numbers: count, sent: dict[str, tuple[float, str]]
) -> None:
    """Send requests with both keys to all entries for a time."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        for entry in site.entries:
            for key in (HELD_KEY, NEVER_HELD_KEY):
                path, method = ("/log/x", "POST") if key == HELD_KEY else ("/lookup/x", "GET")
                request_id = f"r{next(numbers)}"
                sent[request_id] = time.monotonic(), key
                reply = await site.send(entry, request_id, path, key, method=method)
                status = 0 if reply is None else reply.status
                site.record(f"{entry.name}: {method} {path} {request_id}, key {key}: {status}")
        await asyncio.sleep(0.3)


async def main() -> int:
    """Play the case; return the exit code."""
    site = Site(FOLDER, ZONES)
    try:
        broken = await play(site, os.environ.get("TROUBLE", "1") != "0")
        site.record(f"{broken} requests ran that no key allowed")
        return 1 if broken else 0
    except CannotRunError as error:
        site.record(f"cannot run: {error}")
        return 2
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
