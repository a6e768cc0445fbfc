"""Links, pauses and named steps of a virtual site: where its faults are switched on."""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

import trio

__all__ = ["Gate", "Links", "Step", "Steps"]

CONNECT_SECONDS = 1.0


class Step(StrEnum):
    """The crossings of an interface at which a fault can come."""

    ADMIT = "admit"
    CLAIM = "claim"
    ROUTE = "route"
    FIRST_TOKEN = "first token"
    MID_STREAM = "mid-stream"
    FINISH = "finish"
    CALL = "call"
    RECORD_RESULT = "record result"
    LEASE_RENEW = "lease renew"
    PLAN = "plan"
    CONFIRM = "confirm"
    ORDER = "order"
    ORDER_REPLY = "order reply"
    CONFIG_ACCEPT = "config accept"
    CONFIG_SPREAD = "config spread"


class Steps:
    """Counts the steps reached, and does what was asked for at one of them."""

    def __init__(self) -> None:
        self._actions: dict[Step, list[Callable[[str], None]]] = {}
        self._reached: Counter[Step] = Counter()
        self._losses: Counter[Step] = Counter()

    @property
    def reached(self) -> dict[Step, int]:
        """How often each step was reached."""
        return dict(self._reached)

    def at(self, step: Step, action: Callable[[str], None]) -> None:
        """Do something the next time a step is reached; it's told who reached it."""
        self._actions.setdefault(step, []).append(action)

    def lose_reply(self, step: Step) -> None:
        """Let the next reply of a step get lost after the step took effect."""
        self._losses[step] += 1

    def take_loss(self, step: Step | None) -> bool:
        """Return whether this reply is to get lost."""
        if step is None or self._losses[step] == 0:
            return False
        self._losses[step] -= 1
        return True

    def reach(self, step: Step, by: str) -> None:
        """Note that a step is reached."""
        self._reached[step] += 1
        actions = self._actions.get(step)
        if actions:
            actions.pop(0)(by)


class Gate:
    """The pause of a process: while it's shut, nothing of the process goes on."""

    def __init__(self) -> None:
        self._open = trio.Event()
        self._open.set()
        self._dead = False

    @property
    def is_open(self) -> bool:
        """Whether the process runs."""
        return self._open.is_set()

    def shut(self) -> None:
        """Pause the process."""
        if self._open.is_set():
            self._open = trio.Event()

    def open(self) -> None:
        """Let the process go on."""
        self._open.set()

    def kill(self) -> None:
        """Let nothing of the process go on any more; its tasks only wait to be cancelled."""
        self._dead = True
        self._open.set()

    async def wait_open(self) -> None:
        """Wait until the process goes on; no timeout of the process ends the wait."""
        if not self._open.is_set():
            with trio.CancelScope(shield=True):
                await self._open.wait()
        if self._dead:
            await trio.sleep_forever()


class Links:
    """The network between named processes: each pair's delay, and whether it's cut."""

    def __init__(self, delay: float = 0.0005) -> None:
        self._delay = delay
        self._slow: dict[frozenset[str], float] = {}
        self._cut: dict[frozenset[str], trio.Event] = {}

    def cut(self, one: str, other: str) -> None:
        """Drop everything between two processes."""
        self._cut.setdefault(frozenset((one, other)), trio.Event())

    def heal(self, one: str, other: str) -> None:
        """Let everything through again; what was sent meanwhile arrives."""
        healed = self._cut.pop(frozenset((one, other)), None)
        if healed is not None:
            healed.set()

    def slow(self, one: str, other: str, delay: float) -> None:
        """Set the delay between two processes, in seconds one way."""
        self._slow[frozenset((one, other))] = delay

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether nothing gets through."""
        return frozenset((one, other)) in self._cut

    async def connect(self, source: str, target: str) -> bool:
        """Open a connection; return whether it could be opened in time."""
        if self.is_cut(source, target):
            with trio.move_on_after(CONNECT_SECONDS):
                await self._cut[frozenset((source, target))].wait()
                return True
            return False
        await self.cross(source, target)
        return True

    async def cross(self, source: str, target: str) -> None:
        """Carry something one way; over a cut link it arrives after the healing."""
        pair = frozenset((source, target))
        await trio.sleep(self._slow.get(pair, self._delay))
        while pair in self._cut:
            await self._cut[pair].wait()
