"""The connection on which a process follows the list of runners goes silent, and a runner leaves.

The other connections of the process work, and so do new ones and those of the other machines. Exits
with 1 if requests that came when the machine was in touch again reached the runner later than
`drainMs` after the store had taken that it is gone, 0 if none did, 2 if the case couldn't run.
"""

import asyncio
import os
import sys
from itertools import count
from pathlib import Path
from time import monotonic

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab.proxy import Connection, Proxy  # noqa: E402 - needs the path above
from lab.site import CannotRunError, Site, caller_headers, desired_state  # noqa: E402
from lab.wire import Answer, free_port  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["morfa-hall", "landore-hall", "hafod-hall"]
ENTRY = "front-morfa-hall-1"
BOUNDS = {
    "graceS": 8,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 202,
    "budgetWindowS": 10,
}
# The bounds of the site.
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
TIMEOUT_MS = 1500
DEADLINE_MS = 3000
CALLERS = 6
# How long the runner goes on serving after its entry is gone, before it ends. A runner that never
# says `draining` serves on for `drainMs` and a little longer, at times many seconds.
SERVES_ON_SECONDS = 4.6
SETTLE_SECONDS = 6.0
# A read of the list that waits for changes has begun this recently when its connection goes silent.
FRESH_SECONDS = 0.6
POLL_SECONDS = 8.0
# What the process writes about the store and about runners that leave.
LOGGED = ("store-lost", "store-regained", "store-answered-late", "upstream", "upstream-gone")


class _Load:
    """Callers that each send a request as soon as the last one was answered."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._numbers = count()
        self.sent_at: dict[str, float] = {}
        self.answers: dict[str, Answer] = {}

    async def run(self) -> None:
        """Call until cancelled."""
        await asyncio.gather(*(self._call() for _ in range(CALLERS)))

    async def _call(self) -> None:
        caller = self._site.caller(ENTRY)
        while True:
            request_id = f"9c41{next(self._numbers):012x}"
            self.sent_at[request_id] = monotonic()
            headers = caller_headers(request_id, DEADLINE_MS)
            answer = await caller.ask("POST", "/once/2f", headers, b"x" * 600, DEADLINE_MS / 1000)
            self.answers[request_id] = answer
            if answer.status != 200 or not answer.is_complete:
                self._site.log(request=request_id, status=answer.status, end=answer.end)
                await asyncio.sleep(0.1)


def _is_fresh_read_of_the_list(connection: Connection) -> bool:
    is_read = "/v1/rows-feed" in connection.request and "table=servers" in connection.request
    return is_read and connection.is_waiting and monotonic() - connection.asked_at < FRESH_SECONDS


async def _play(site: Site) -> bool:
    await site.start_store()
    route = {"name": "once", "pathPrefix": "/once/", "kind": "non_idempotent", "maxAttempts": 1}
    route |= {"service": "records", "timeoutMs": TIMEOUT_MS, "sloMs": 400, "priority": 2}
    state = desired_state(
        7, [route], [{"name": "records", "healthPath": "/health", "maxConns": 110}]
    )
    site.store.put_json("op", "config", state)
    runners = []
    for number, zone in enumerate(ZONES):
        host = site.host(101 + number)
        spec = {"service": "records", "zone": zone, "address": f"{host}:{free_port(host)}"}
        runners.append(site.start_runner(id=f"i-{number}", work_s=0.09, **spec))
    proxies = [Proxy(site.store_address) for _ in ZONES]
    addresses = []
    for number, proxy in enumerate(proxies):
        host = site.host(31 + number)
        port = free_port(host)
        await proxy.start(host, port)
        addresses.append(f"{host}:{port}")
    await site.start_gateways(ZONES, BOUNDS, tuple(addresses))
    await asyncio.sleep(SETTLE_SECONDS)
    load = _Load(site)
    calling = asyncio.create_task(load.run())
    await asyncio.sleep(2.0)

    silenced: list[str] = []
    for _ in range(int(POLL_SECONDS / 0.02)):
        silenced = [
            each.request for each in proxies[0].connections if _is_fresh_read_of_the_list(each)
        ]
        if TROUBLE and silenced:
            silenced = proxies[0].silence(_is_fresh_read_of_the_list)
        if silenced:
            break
        await asyncio.sleep(0.02)
    if not silenced:
        raise CannotRunError("no read of the list of runners was under way")
    silent_at = monotonic()
    site.log(
        event="the connection goes silent" if TROUBLE else "nothing happens", requests=silenced
    )
    await asyncio.sleep(0.2)
    site.tell(runners[0], "leave")
    acked_at = monotonic()
    while not any(each.get("acked") == "gone" for each in site.runner_lines):
        await asyncio.sleep(0.005)
        acked_at = monotonic()
    site.log(event="the store has taken that i-0 is gone")
    await asyncio.sleep(SERVES_ON_SECONDS)
    site.tell(runners[0], "end")
    await asyncio.sleep(2.0)
    calling.cancel()
    await asyncio.gather(calling, return_exceptions=True)
    for line in site.log_lines(ENTRY):
        if any(f'"{each}"' in line for each in LOGGED):
            site.log(event="the process wrote", line=line)
    return _judge(site, load, silent_at, acked_at)


def _judge(site: Site, load: _Load, silent_at: float, acked_at: float) -> bool:
    """Return whether the rule was broken; only requests of a machine in touch count."""
    judged_from = max(silent_at + CONTACT_SECONDS if TROUBLE else 0.0, acked_at + DRAIN_SECONDS)
    ran = [each for each in site.runner_lines if each["runner"] == "i-0" and "runs" in each]
    late = [each["runs"] for each in ran if load.sent_at.get(each["runs"], 0.0) >= judged_from]
    lost = [name for name in late if name in load.answers and load.answers[name].status != 200]
    if not ran:
        raise CannotRunError("the runner got no requests at all")
    site.log(
        event="judged",
        requests=len(load.answers),
        served=sum(each.status == 200 for each in load.answers.values()),
        ran_there=len(ran),
        ran_there_late=len(late),
        of_these_lost=len(lost),
        last_after_ack=round(
            max((load.sent_at[each] for each in late), default=acked_at) - acked_at, 2
        ),
    )
    return bool(late)


async def main() -> int:
    """Run the case and return its exit code."""
    site = Site(FOLDER / "record.txt")
    try:
        async with asyncio.timeout(100):
            broken = await _play(site)
        site.log(result="broken" if broken else "held", trouble=TROUBLE)
        return int(broken)
    except (CannotRunError, OSError, TimeoutError) as error:
        site.log(result="could not run", why=repr(error))
        return 2
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
