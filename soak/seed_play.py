"""Plays one seed: starts a site, makes trouble, lets it recover, and judges what was seen."""

import tempfile
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

import trio

from soak.callers import Callers
from soak.configuration import IDEMPOTENT_ROUTES, MAX_ATTEMPTS
from soak.kinds import Play, needs_of
from soak.profiles import PROFILES, USUAL
from soak.seed_judges import find_violations
from soak.site import ENTRY_COUNT, STOP_GRACE_SECONDS, Site
from soak.stop_judge import find_still_ready, observe_stop

__all__ = ["Options", "make_site", "run_seed"]

# The time from the start of all processes to the first calls and faults.
STARTUP_SECONDS = 5.0
CALLER_COUNT = 12
# The time without faults at the end. The site must have recovered before its last JUDGED_SECONDS.
RECOVERY_SECONDS = 10.0
JUDGED_SECONDS = 4.0
READY_POLL_INTERVAL_SECONDS = 0.15
# The number of violations that are printed for a seed.
MAX_PRINTED_VIOLATIONS = 10


@dataclass(frozen=True)
class Options:
    """What is played, whatever the seed.

    Trouble is made for `seconds`, of the kinds `only`, or of all usual ones if it is empty. A
    request of the idempotent routes may run on `attempts` upstreams, None for the usual number.
    """

    seconds: float
    only: tuple[str, ...] = ()
    entry_count: int = ENTRY_COUNT
    attempts: int | None = None
    profile: str = USUAL

    @property
    def arguments(self) -> list[str]:
        """The arguments of the command line that give these options."""
        arguments = ["--seconds", f"{self.seconds:g}", "--entries", str(self.entry_count)]
        arguments += ["--profile", self.profile]
        arguments += [text for each in self.only for text in ("--only", each)]
        return arguments + ([] if self.attempts is None else ["--attempts", str(self.attempts)])


async def _watch_entries(site: Site, callers: Callers) -> None:
    """Poll the entries for readiness, and record unexpected exits."""
    while True:
        for entry in site.entries:
            code = entry.process.poll()
            if code is not None and not entry.is_stopping:
                site.violations.append(f"{entry.name} exited unexpectedly with code {code}")
                entry.is_stopping = True
            ready = await site.ask_ready(entry)
            site.readiness.add(entry.name, trio.current_time(), ready)
            (callers.ready_entries.add if ready else callers.ready_entries.discard)(
                entry.caller_proxy.address
            )
        await trio.sleep(READY_POLL_INTERVAL_SECONDS)


def _exited_runners(site: Site) -> list[str]:
    """Return the stand-in runners that exited by themselves, which invalidates the result."""
    codes = {each.spec.instance: each.process.poll() for each in site.runners}
    return [
        f"stand-in {name} exited, code {code}" for name, code in codes.items() if code is not None
    ]


async def _run_site(site: Site, seed: int, options: Options, fault_log: list[str]) -> list[str]:
    callers = Callers([], Random(seed), keys=["key-0", "key-1"])
    async with trio.open_nursery() as nursery:
        site.configure(
            keys=tuple(callers.keys),
            has_health_path=bool(site.plain_slots),
            second_share=0.0 if site.has_second_service else None,
        )
        await site.start(nursery)
        callers.entries = [each.caller_proxy.address for each in site.entries]
        nursery.start_soon(_watch_entries, site, callers)
        await trio.sleep(STARTUP_SECONDS)
        began_at = trio.current_time()

        def log_fault(text: str) -> None:
            fault_log.append(f"{trio.current_time() - began_at:6.2f} {text}")

        play = Play(site, callers, seed, options.only, log_fault)
        troubles = play.make_troubles()
        nursery.start_soon(play.make_crash_restarts().run, float("inf"))
        async with trio.open_nursery() as load_nursery:
            load_nursery.start_soon(callers.run, CALLER_COUNT)
            async with trio.open_nursery() as fault_nursery:
                for _, trouble in troubles:
                    fault_nursery.start_soon(trouble.run, began_at + options.seconds)
            await trio.sleep(RECOVERY_SECONDS)
            callers.stop()
        checked_from = trio.current_time() - JUDGED_SECONDS
        await _stop_all(site, callers)
        nursery.cancel_scope.cancel()
    return find_violations(play, troubles, checked_from)


async def _stop_all(site: Site, callers: Callers) -> None:
    """Stop all entries together, and record what they do wrong."""
    stopped_at = trio.current_time()
    ready_before = frozenset(
        each.name for each in site.entries if each.caller_proxy.address in callers.ready_entries
    )
    for entry in site.entries:
        entry.is_stopping = True
        entry.process.terminate()
    seen_stop = await observe_stop(site, ready_before)
    site.violations += find_still_ready(seen_stop)
    await trio.sleep_until(stopped_at + STOP_GRACE_SECONDS)
    running_entries = [each.name for each in site.entries if each.process.poll() is None]
    if running_entries:
        site.violations.append(
            f"{running_entries} still running {STOP_GRACE_SECONDS} s after SIGTERM"
        )
    site.violations += _exited_runners(site)


def make_site(folder: Path, options: Options, site_class: type[Site] = Site) -> Site:
    """Return a site as the kinds of trouble need it, and as its profile says; start nothing."""
    profile, needs = PROFILES[options.profile], needs_of(options.only)
    site = site_class(
        folder,
        options.entry_count,
        needs.plain_slots,
        needs.revocation_seconds,
        needs.has_second_service,
        profile.event_interval_seconds,
    )
    attempts = options.attempts
    set_attempts = {} if attempts is None else dict.fromkeys(IDEMPOTENT_ROUTES, attempts)
    site.configuration = replace(
        site.configuration,
        max_attempts={**MAX_ATTEMPTS, **profile.max_attempts, **set_attempts},
        timeout_shares=profile.timeout_shares,
    )
    return site


def run_seed(seed: int, options: Options) -> int:
    """Run one seed and print its result; return the exit code."""
    fault_log: list[str] = []
    with tempfile.TemporaryDirectory() as folder:
        site = make_site(Path(folder), options)
        try:
            violations = trio.run(_run_site, site, seed, options, fault_log)
        finally:
            site.close()
        if violations:
            findings = Path("soak-findings") / str(seed)
            findings.mkdir(parents=True, exist_ok=True)
            for each in Path(folder).glob("*.log"):
                (findings / each.name).write_bytes(each.read_bytes())
            (findings / "faults.txt").write_text("\n".join(fault_log), encoding="utf-8")
    runs = sum("run" in each for each in site.records)
    print(f"seed {seed}: {len(fault_log)} faults, {runs} runs, {len(violations)} broken promises")
    print(
        "  judged: "
        + (", ".join(f"{count} {name}" for name, count in site.judged.items()) or "nothing")
    )
    for each in violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"  {each}")
    return 1 if violations else 0
