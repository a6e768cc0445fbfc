"""A plain answer without a length: its runner crashes halfway while the entry machine is frozen.

The runner is back at its address, as a new boot, when the machine wakes. Exits with 1 if a caller
got a success whose body isn't the runner's whole body, 0 if none did, 2 if the case couldn't run.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab.runner import whole_body  # noqa: E402 - needs the path above
from lab.site import CannotRunError, Site, caller_headers, desired_state  # noqa: E402
from lab.wire import free_port  # noqa: E402

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
ROUTES = [
    {"name": "once", "pathPrefix": "/once/", "kind": "non_idempotent", "maxAttempts": 1},
    {"name": "again", "pathPrefix": "/again/", "kind": "idempotent", "maxAttempts": 2},
]
TIMEOUT_MS = 1500
DEADLINE_MS = 3000
ROUNDS = 4
# The two halves of an answer are this far apart.
PAUSE_SECONDS = 0.9
# The runner's down time, and the time that the machine is frozen.
DOWN_SECONDS = 0.25
FROZEN_SECONDS = 0.9
SETTLE_SECONDS = 4.0


async def _wait_for(site: Site, seconds: float, **wanted: object) -> dict:
    """Return the first line of a runner with some values.

    Raises:
      CannotRunError: none came in time.
    """
    for _ in range(int(seconds / 0.005)):
        for line in site.runner_lines:
            if wanted.items() <= line.items():
                return line
        await asyncio.sleep(0.005)
    raise CannotRunError(f"no line of a runner with {wanted}")


async def _play(site: Site) -> bool:
    await site.start_store()
    route = {"service": "records", "timeoutMs": TIMEOUT_MS, "sloMs": 400, "priority": 2}
    services = [{"name": "records", "healthPath": "/health", "maxConns": 110}]
    site.store.put_json(
        "op", "config", desired_state(7, [{**route, **each} for each in ROUTES], services)
    )
    host = site.host(101)
    address = f"{host}:{free_port(host)}"
    spec = {"service": "records", "zone": ZONES[0], "address": address}
    spec |= {"unframed": True, "pause_s": PAUSE_SECONDS, "work_s": 0.06}
    runner = site.start_runner(id="i-boot0", **spec)
    await site.start_gateways(ZONES, BOUNDS)
    broken = False
    for number in range(ROUNDS):
        await asyncio.sleep(SETTLE_SECONDS)
        name = ROUTES[number % 2]["name"]
        request_id = f"9c41d07be2a3{number:04x}"
        caller = site.caller(ENTRY)
        site.log(sent=request_id, to=ENTRY, route=name)
        asked = asyncio.create_task(
            caller.ask(
                "GET" if name == "again" else "POST",
                f"/{name}/2f",
                caller_headers(request_id, DEADLINE_MS),
                b"" if name == "again" else b"x" * 600,
                DEADLINE_MS / 1000,
            )
        )
        await _wait_for(site, 3.0, sent=request_id)
        if TROUBLE:
            await asyncio.sleep(0.05)
            site.signal(ENTRY, signal.SIGSTOP)
            runner.kill()
            runner.wait()
            site.log(event="runner killed", id=f"i-boot{number}")
            await asyncio.sleep(DOWN_SECONDS)
            runner = site.start_runner(id=f"i-boot{number + 1}", **spec)
            await asyncio.sleep(FROZEN_SECONDS - DOWN_SECONDS)
            site.signal(ENTRY, signal.SIGCONT)
        answer = await asked
        caller.close()
        whole = whole_body(request_id, 800)
        is_success = 200 <= answer.status < 300 and answer.is_complete
        is_whole = answer.body == whole and "x-response-seal" in answer.headers
        site.log(
            answered=request_id,
            status=answer.status,
            end=answer.end,
            seal=answer.headers.get("x-response-seal", ""),
            bytes=len(answer.body),
            whole=len(whole),
            verdict="MIXED" if is_success and not is_whole else "held",
        )
        broken |= is_success and not is_whole
        if not TROUBLE and not (is_success and is_whole):
            raise CannotRunError(f"{request_id} wasn't served without the disruption")
    return broken


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
