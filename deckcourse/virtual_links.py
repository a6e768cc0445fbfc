"""Network links, process pauses and named steps of a virtual site, where faults are injected."""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

import trio

__all__ = ["Gate", "Links", "Step", "Steps"]

CONNECT_TIMEOUT_SECONDS = 1.0


class Step(StrEnum):
    """The interface calls at which a fault can be injected."""

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
    """Counts the steps reached, and runs the actions and reply losses scheduled for them."""

    def __init__(self) -> None:
        self._actions: dict[Step, list[Callable[[str], None]]] = {}
        self._reach_counts: Counter[Step] = Counter()
        self._reply_losses: Counter[Step] = Counter()

    @property
    def reached(self) -> dict[Step, int]:
        """The number of times that each step was reached."""
        return dict(self._reach_counts)

    def at(self, step: Step, action: Callable[[str], None]) -> None:
        """Schedule an action for a step; it's called with the name of the process that reached it.

        Each time the step is reached, one scheduled action runs, in the order of scheduling.
        """
        self._actions.setdefault(step, []).append(action)

    def lose_reply(self, step: Step) -> None:
        """Schedule the loss of the step's next reply, after the step took effect."""
        self._reply_losses[step] += 1

    def consume_reply_loss(self, step: Step | None) -> bool:
        """Return whether this reply must be lost, and use up one scheduled loss."""
        if step is None or self._reply_losses[step] == 0:
            return False
        self._reply_losses[step] -= 1
        return True

    def reach(self, step: Step, process: str) -> None:
        """Count a step and run the next action scheduled for it."""
        self._reach_counts[step] += 1
        actions = self._actions.get(step)
        if actions:
            actions.pop(0)(process)


class Gate:
    """Pauses a process: its tasks wait at the gate while it's closed."""

    def __init__(self) -> None:
        self._open = trio.Event()
        self._open.set()
        self._dead = False

    @property
    def is_open(self) -> bool:
        """Whether the process isn't paused."""
        return self._open.is_set()

    def close(self) -> None:
        """Pause the process."""
        if self._open.is_set():
            self._open = trio.Event()

    def open(self) -> None:
        """Resume the process."""
        self._open.set()

    def kill(self) -> None:
        """Stop the process for good: its tasks wait at the gate until they're cancelled."""
        self._dead = True
        self._open.set()

    async def wait_open(self) -> None:
        """Wait while the process is paused; its own timeouts don't end the wait.

        After `kill` the wait ends only by cancellation.
        """
        if not self._open.is_set():
            with trio.CancelScope(shield=True):
                await self._open.wait()
        if self._dead:
            await trio.sleep_forever()


class Links:
    """The simulated network: the delay of each pair of processes, and the pairs that are cut."""

    def __init__(self, delay: float = 0.0005) -> None:
        self._default_delay = delay
        self._delays: dict[frozenset[str], float] = {}
        self._cuts: dict[frozenset[str], trio.Event] = {}

    def cut(self, one: str, other: str) -> None:
        """Partition two processes; messages between them wait until `heal`."""
        self._cuts.setdefault(frozenset((one, other)), trio.Event())

    def heal(self, one: str, other: str) -> None:
        """End the partition; messages sent during it are delivered."""
        healed = self._cuts.pop(frozenset((one, other)), None)
        if healed is not None:
            healed.set()

    def slow(self, one: str, other: str, delay: float) -> None:
        """Set the one-way delay between two processes, in seconds."""
        self._delays[frozenset((one, other))] = delay

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether the two processes are partitioned."""
        return frozenset((one, other)) in self._cuts

    async def connect(self, source: str, target: str) -> bool:
        """Open a connection; return whether it opened before the connect timeout."""
        if self.is_cut(source, target):
            with trio.move_on_after(CONNECT_TIMEOUT_SECONDS):
                await self._cuts[frozenset((source, target))].wait()
                return True
            return False
        await self.cross(source, target)
        return True

    async def cross(self, source: str, target: str) -> None:
        """Wait for a message's one-way delay; on a cut link it's delivered after `heal`."""
        pair = frozenset((source, target))
        await trio.sleep(self._delays.get(pair, self._default_delay))
        while pair in self._cuts:
            await self._cuts[pair].wait()
