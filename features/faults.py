"""The faults of the matrix: what each does to its victim, and how it ends."""

import trio
from world import World

from deckcourse.virtual_links import Step

RESTART_SECONDS = 8.0
FAULT_SECONDS = 12.0
OUTAGE_SECONDS = 15.0
LAPSE_SECONDS = 22.0
SLOW_LINK_SECONDS = 0.15
SLOW_PLATFORM_SECONDS = 1.0
FIRST_LAYERS = {"head": 0, "middle": 4, "last": 8}


class Fault:
    """One fault of a scenario: which, on whom, at which step, and that it came."""

    def __init__(self, world: World, fault: str, victim: str, step: str, times: int = 1) -> None:
        self.world = world
        self.fault = fault
        self.victim = victim
        self.step = Step(step)
        self.came = 0
        self.wanted = times
        self.seconds = OUTAGE_SECONDS

    def arm(self) -> None:
        """Let the fault come each time the step is reached, as often as wanted."""
        for _ in range(self.wanted):
            self.world.site.steps.at(self.step, self._come)

    def _come(self, by: str) -> None:
        self.came += 1
        getattr(self, "_" + self.fault.replace("-", "_"))(by)

    def _name(self, by: str) -> str:
        site = self.world.site
        if self.victim in FIRST_LAYERS:
            return self._engine(FIRST_LAYERS[self.victim])
        if self.victim == "entry":
            return by if by.startswith("entry") else "entry-1"
        if self.victim == "controller":
            return by if by.startswith("controller") else self.world.holder().name
        if self.victim == "service":
            return "vans-1"
        if self.victim == "runner":
            return max(site.engines)
        raise ValueError(f"no victim is called {self.victim}")

    def _engine(self, first: int) -> str:
        """An engine that holds the layers, one with streams before others."""
        engines = [each for each in self.world.site.engines.values() if each.held[1] == first]
        engines = [each for each in engines if each.held[0] and each.spec.name not in self._hit()]
        return max(engines, key=lambda each: (each.stream_count, each.spec.name)).spec.name

    def _hit(self) -> set[str]:
        return self.world.faulted

    def _later(self, seconds: float, action, *args) -> None:
        async def wait() -> None:
            await trio.sleep(seconds)
            action(*args)

        self.world.nursery.start_soon(wait)

    def _kill(self, by: str) -> None:
        name = self._name(by)
        site = self.world.site
        self.world.faulted.add(name)
        site.kill(name)
        if name in site.engines:
            self._later(RESTART_SECONDS, site.restart_engine, name)
        elif name in site.services:
            self._later(RESTART_SECONDS, site.services[name].revive)
        else:
            self._later(RESTART_SECONDS, site.start, name)

    def _freeze(self, by: str, seconds: float = FAULT_SECONDS) -> None:
        name = self._name(by)
        self.world.faulted.add(name)
        self.world.site.freeze(name)
        self._later(seconds, self.world.site.thaw, name)

    def _lapsed_lease(self, by: str) -> None:
        self._freeze(by, LAPSE_SECONDS)

    def _others(self, name: str) -> list[str]:
        site = self.world.site
        names = [*site.engines, *site.services, *site.processes, "platform"]
        return [each for each in names if each != name]

    def _suspect_neighbours(self, name: str) -> None:
        """Where a link is at fault, the stages on both its sides may be replaced."""
        engines = self.world.site.engines
        if name not in engines:
            return
        held = engines[name].held
        for other in engines.values():
            if other.held[0] == held[0] and (other.held[1] == held[2] or other.held[2] == held[1]):
                self.world.suspects.add(other.spec.name)

    def _cut(self, by: str) -> None:
        name = self._name(by)
        self.world.faulted.add(name)
        self._suspect_neighbours(name)
        for other in self._others(name):
            self.world.site.links.cut(name, other)
            self._later(FAULT_SECONDS, self.world.site.links.heal, name, other)

    def _slow_link(self, by: str) -> None:
        name = self._name(by)
        self.world.faulted.add(name)
        self._suspect_neighbours(name)
        for other in self._others(name):
            self.world.site.links.slow(name, other, SLOW_LINK_SECONDS)
            self._later(FAULT_SECONDS, self.world.site.links.slow, name, other, 0.0005)

    def _platform_outage(self, by: str) -> None:
        self.world.site.platform_out(True)
        self._later(self.seconds, self.world.site.platform_out, False)

    def _slow_platform(self, by: str) -> None:
        self.world.site.platform_delay(SLOW_PLATFORM_SECONDS)
        self._later(OUTAGE_SECONDS, self.world.site.platform_delay, 0.0)

    def _lost_reply(self, by: str) -> None:
        self.world.site.steps.lose_reply(self.step)

    def _operator_race(self, by: str) -> None:
        self.world.nursery.start_soon(race, self.world)


async def race(world: World) -> None:
    """Two operators confirm two plans that want the same free runner."""
    number = len([name for name in world.plans if name.startswith("race")])
    first, second = f"race-{number}a", f"race-{number}b"
    await world.propose(first, {"kind": "hold", "model": "m", "capacity": 250.0}, "controller-1")
    await world.propose(
        second, {"kind": "serve", "model": "n", "depth": 4, "capacity": 150.0}, "controller-2"
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.confirm, first, "controller-1")
        nursery.start_soon(world.confirm, second, "controller-2")
    world.notes["races"] = [
        [type(result).__name__ for result in world.confirmed[name]] for name in (first, second)
    ]
