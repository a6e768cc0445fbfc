"""Random faults from outside: signals, proxies, the store and configuration changes."""

import signal
import subprocess
from collections.abc import Awaitable, Callable, Sequence
from random import Random

import trio

from soak.callers import Callers
from soak.notice_faults import Holds
from soak.odd_answers import AnswerFault
from soak.proxy import Mode, Proxy
from soak.site import Entry, RunnerProcess, Site, desired_state

__all__ = ["KINDS", "Faults"]

# Faults are drawn from these with equal weight; a kind that is listed twice is drawn twice as
# often.
KINDS = (
    "runner", "runner", "runner", "entry", "entry", "runner_link", "runner_link", "store_link",
    "front_link", "store_refuses", "change", "still", "still", "aimed", "aimed", "odd", "odd",
    "series",
)  # fmt: skip

# The time between two faults. Many last longer, so that they overlap.
SHORTEST_GAP_SECONDS = 0.2
LONGEST_GAP_SECONDS = 1.2
# The time between the exit of an entry and its restart.
RESTART_SECONDS = 0.4
# How long a runner holds its output back before it sends all of it at once. The two control queries
# whose timeouts make the gateway move its streams end within that time.
SHORTEST_STILL_SECONDS = 0.1
LONGEST_STILL_SECONDS = 0.6
# The longest time for which a runner holds its output back until these queries time out.
LONGEST_AIMED_SECONDS = 1.0
# How long a share of a runner's answers is faulty.
SHORTEST_ODD_SECONDS = 0.3
LONGEST_ODD_SECONDS = 2.0
# A restart of all entries begins only if this much of the time for faults is left.
SERIES_SECONDS = 6.0
SERIES_PAUSE_SECONDS = 1.0
# Each domain of four runners can heal one that is lost.
MOST_RUNNERS_HIT = 2


class Faults:
    """Injects random faults into a site; several faults may overlap.

    Args:
      site: the site to inject faults into.
      callers: the callers whose keys are revoked.
      random: chooses the faults, their targets and their durations.
      log_fault: called with a description of each fault.
      interruptions: where pauses and cut links are recorded.
      only: the kinds of faults to choose from; all if it is empty.
    """

    def __init__(
        self,
        site: Site,
        callers: Callers,
        random: Random,
        say: Callable[[str], None],
        holds: Holds,
        only: Sequence[str] = (),
    ) -> None:
        self._site = site
        self._callers = callers
        self._random = random
        self._say = say
        self._holds = holds
        self._hit: set[str] = set()
        self._endless: set[str] = set()
        self._until = 0.0
        self._version = 1
        self.revoked: dict[str, float] = {}
        self._kinds = [self._kind(name) for name in only or KINDS]

    async def run(self, until: float) -> None:
        """Inject faults until a time on trio's clock; return once all of them have ended."""
        self._until = until
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(self._random.choice(self._kinds))
                gap = self._random.uniform(SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS)
                await trio.sleep(gap)

    def _kind(self, name: str) -> Callable[[], Awaitable[None]]:
        return getattr(self, f"_{name}")

    def _free(self, names: list[str], most: int) -> str | None:
        """Choose a name without a fault, or None if `max_affected` of them have one already."""
        if len(self._hit & set(names)) >= most:
            return None
        return self._random.choice([each for each in names if each not in self._hit])

    async def _runner(self) -> None:
        by_name = {each.spec.instance: each for each in self._site.runners}
        name = self._free(list(by_name), MOST_RUNNERS_HIT)
        if name is not None:
            self._hit.add(name)
            await self._hit_runner(by_name[name])
            self._hit.discard(name)

    async def _hit_runner(self, runner: RunnerProcess) -> None:
        seconds = self._random.uniform(0.3, 2.0)
        if self._random.random() < 0.5:
            self._say(f"runner {runner.spec.instance} killed for {seconds:.1f} s")
            if runner.spec.instance in self._endless:
                # A close of its connections would complete the answers that have no length.
                runner.proxy.reset()
            self._holds.note_moment(runner.spec.instance)
            killed = runner.process
            killed.kill()
            await trio.sleep(seconds)
            if runner.process is killed:
                self._site.start_runner(runner)
        else:
            self._say(f"runner {runner.spec.instance} paused for {seconds:.1f} s")
            self._holds.note(runner.spec.instance, seconds)
            await self._pause(runner.process, seconds)

    async def _pause(self, process: subprocess.Popen, seconds: float) -> None:
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    async def _still(self) -> None:
        runner = self._random.choice(self._site.runners)
        seconds = self._random.uniform(SHORTEST_STILL_SECONDS, LONGEST_STILL_SECONDS)
        self._say(f"runner {runner.spec.instance} holds its output for {seconds:.3f} s")
        self._holds.note(runner.spec.instance, seconds)
        self._site.tell_runner(runner, still=seconds)
        await trio.sleep(seconds)

    async def _aimed(self) -> None:
        runner = self._random.choice([each for each in self._site.runners if each.spec.layers])
        self._say(f"runner {runner.spec.instance} holds its output until its streams are moved")
        self._holds.note(runner.spec.instance, LONGEST_AIMED_SECONDS)
        self._site.tell_runner(runner, aimed=LONGEST_AIMED_SECONDS)
        await trio.sleep(LONGEST_AIMED_SECONDS)

    async def _odd(self) -> None:
        runner = self._random.choice(self._site.runners)
        kind = self._random.choice(list(AnswerFault))
        seconds = self._random.uniform(SHORTEST_ODD_SECONDS, LONGEST_ODD_SECONDS)
        self._say(f"runner {runner.spec.instance} sends faulty answers for {seconds:.1f} s: {kind}")
        self._site.tell_runner(runner, odd=kind, seconds=seconds)
        if kind in (AnswerFault.ENDLESS, AnswerFault.ENDLESS_RESET):
            self._endless.add(runner.spec.instance)

    async def _series(self) -> None:
        """Restart all entries, one after the other."""
        names = {each.name for each in self._site.entries}
        if self._hit & names or trio.current_time() + SERIES_SECONDS > self._until:
            return
        self._hit |= names
        for entry in self._site.entries:
            await self._hit_entry(entry, self._random.choice(("kill", "stop")))
            await trio.sleep(SERIES_PAUSE_SECONDS)
        self._hit -= names

    async def _entry(self) -> None:
        by_name = {each.name: each for each in self._site.entries}
        name = self._free(list(by_name), 1)
        if name is not None:
            self._hit.add(name)
            how = self._random.choice(("kill", "stop", "pause", "reload"))
            await self._hit_entry(by_name[name], how)
            self._hit.discard(name)

    async def _hit_entry(self, entry: Entry, how: str) -> None:
        self._say(f"entry {entry.name}: {how}")
        if how == "pause":
            seconds = self._random.uniform(0.2, 1.5)
            self._holds.note(entry.name, seconds)
            await self._pause(entry.process, seconds)
        elif how == "reload":
            entry.process.send_signal(signal.SIGHUP)
        else:
            entry.stopping = True
            begun = trio.current_time()
            entry.process.send_signal(signal.SIGKILL if how == "kill" else signal.SIGTERM)
            await trio.to_thread.run_sync(entry.process.wait)
            if how == "stop" and entry.process.returncode != 0:
                self._site.broken.append(f"{entry.name}: exit {entry.process.returncode}")
            await trio.sleep(RESTART_SECONDS)
            self._site.start_entry(entry)
            self._holds.spans.append((entry.name, begun, trio.current_time()))

    async def _hit_link(self, proxy: Proxy, name: str, longest: float) -> None:
        mode = self._random.choice((Mode.DELAY, Mode.SILENT, Mode.ONE_WAY, None))
        seconds = self._random.uniform(0.2, longest)
        self._say(f"link {name}: {mode or 'reset'} for {seconds:.1f} s")
        if mode is None:
            self._holds.note_moment(name)
            proxy.reset()
            return
        self._holds.note(name, seconds)
        proxy.set_mode(mode, self._random.uniform(0.02, 0.2))
        await trio.sleep(seconds)
        proxy.set_mode(Mode.PASS)

    async def _runner_link(self) -> None:
        runner = self._random.choice(self._site.runners)
        await self._hit_link(runner.proxy, runner.spec.instance, 1.5)

    async def _store_link(self) -> None:
        entry = self._random.choice(self._site.entries)
        await self._hit_link(entry.store, f"{entry.name} to store", 4.0)

    async def _front_link(self) -> None:
        entry = self._random.choice(self._site.entries)
        await self._hit_link(entry.front, f"callers to {entry.name}", 0.5)

    async def _store_refuses(self) -> None:
        seconds = self._random.uniform(0.3, 2.0)
        self._say(f"store unavailable for {seconds:.1f} s")
        self._site.store.refuses = True
        await trio.sleep(seconds)
        self._site.store.refuses = False

    async def _change(self) -> None:
        """Write a new desired state; half of them revoke a key and issue a new one."""
        self._version += self._random.randint(1, 3)
        keys = [each for each in self._callers.keys if each not in self.revoked]
        if self._random.random() < 0.5:
            taken = self._random.choice(keys)
            fresh = f"key-{self._version}"
            keys = [each for each in keys if each != taken] + [fresh]
            self.revoked[taken] = trio.current_time()
            self._callers.keys.append(fresh)
            self._say(f"key {taken} revoked, {fresh} issued")
        self._say(f"desired state {self._version}")
        self._site.store.put_json("op", "config", desired_state(self._version, keys))
