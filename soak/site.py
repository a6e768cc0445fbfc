"""One site of the soak: the store, runners, entries and proxies, all on the local machine."""

import json
import os
import signal
import subprocess
import sys
from collections import Counter, defaultdict
from contextlib import suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from time import monotonic, time

import trio

from soak.configuration import (
    LAYER_CAPACITY,
    LAYER_COUNT,
    SECOND_SERVICE,
    Configuration,
    desired_state,
)
from soak.connection_judge import Readiness
from soak.desired_history import DesiredHistory
from soak.disturbances import Disturbances, PlannedKind
from soak.lateness import Lateness
from soak.pauses import Pauses
from soak.proxy import Proxy
from soak.runner import RunnerSpec
from soak.store import StandinStore
from soak.wire import HOST, free_port, serve

__all__ = [
    "RETRY_RATIO",
    "RETRY_SLACK",
    "RETRY_WINDOW_SECONDS",
    "STOP_GRACE_SECONDS",
    "ENTRY_COUNT",
    "REVOCATION_SECONDS",
    "Entry",
    "RunnerProcess",
    "Site",
]

ENTRY_COUNT = 3
# The number of the entry that runs `soak.suspendable`, for which a stop of its process is a
# suspension of its machine.
SUSPENDED_ENTRY = 2
# A runner gets a new id after this many starts, so that restarts under the same id and under a new
# one both occur.
STARTS_PER_ID = 2
# A row that hasn't been written for this time is removed at the next check.
ROW_TTL_SECONDS = 1.2
READY_TIMEOUT_SECONDS = 0.2
# Shorter than a pause that an entry detects as a pause of its own process.
ENTRY_PAUSE_SECONDS = 0.045
# The entries' settings stop_grace and revocation: the time allowed for a shutdown, and the time
# after which a removed key must be refused.
STOP_GRACE_SECONDS = 5
REVOCATION_SECONDS = 3
# The entries' settings of the retry budget: so small that phases of refusals use it up.
RETRY_RATIO = 0.2
RETRY_SLACK = 30
RETRY_WINDOW_SECONDS = 10
SETTINGS = """[node]
name = {name}
domain = {domain}
platform = {platform}
peers = {peers}

[gateway]
listen = {host}:{port}
ready_listen = {host}:{ready}
metrics_listen = {host}:{metrics}
peer_listen = {host}:{peer}
stop_grace = {grace} s
revocation = {revocation} s
retry_ratio = {retry_ratio}
retry_slack = {retry_slack}
retry_window = {retry_window} s

[load]
admission = true
"""


@dataclass
class RunnerProcess:
    """A runner that may be restarted: its proxy and its current process, if any."""

    spec: RunnerSpec
    proxy: Proxy
    start_count: int = 0
    process: subprocess.Popen | None = None
    # The id of its current incarnation, which its row has.
    process_name: str = ""


@dataclass
class Entry:
    """An entry that may be restarted: its settings, its proxies and its process."""

    name: str
    settings: Path
    port: int
    ready_port: int
    caller_proxy: Proxy
    store: Proxy
    program: str = "deckcourse.platform"
    process: subprocess.Popen | None = None
    is_stopping: bool = False
    # The latest process that was ended by SIGKILL.
    killed: subprocess.Popen | None = None
    start_count: int = 0


@dataclass
class Site:
    """All processes of one seed and what was observed of them.

    `plain_slots` is how many requests a plain runner works on at once, 0 for any number; it queues
    as many more. Streams have an event each `event_interval_seconds`. `records` are the lines that
    the runners wrote, `violations` the violated guarantees found so far, `judged` counts the cases
    that were checked, and `entry_started_at` holds the start times of each entry. `disturbances`
    are those that the soak has caused.
    `runner_ended_at` holds when the process of an incarnation of a runner, (id, born), ended,
    `desired_history` the desired states that the store took, `readiness` what the entries answered,
    `lateness` when the soak itself was late.
    """

    folder: Path
    entry_count: int = ENTRY_COUNT
    plain_slots: int = 0
    revocation_seconds: float = REVOCATION_SECONDS
    has_second_service: bool = False
    event_interval_seconds: float = 0.02
    store: StandinStore = field(default_factory=StandinStore)
    store_port: int = field(default_factory=free_port)
    runners: list[RunnerProcess] = field(default_factory=list)
    entries: list[Entry] = field(default_factory=list)
    records: list[dict] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    judged: Counter[str] = field(default_factory=Counter)
    entry_started_at: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    peer_ports: list[int] = field(default_factory=list)
    disturbances: Disturbances = field(default_factory=Disturbances)
    runner_ended_at: dict[tuple[str, int], float] = field(default_factory=dict)
    desired_history: DesiredHistory = field(default_factory=DesiredHistory)
    readiness: Readiness = field(default_factory=Readiness)
    lateness: Lateness = field(default_factory=Lateness)
    configuration: Configuration = Configuration(1, ())
    pauses: Pauses = field(default_factory=Pauses)
    _nursery: trio.Nursery | None = None

    @property
    def clock_offset(self) -> float:
        """The difference from the monotonic clock, which all processes share, to trio's."""
        return trio.current_time() - monotonic()

    @property
    def entry_names(self) -> dict[str, str]:
        """The name of each entry by the address at which callers reach it."""
        return {each.caller_proxy.address: each.name for each in self.entries}

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the store, the runners and the entries in the order in which the platform does."""
        self._nursery = nursery
        self.peer_ports = [free_port() for _ in range(self.entry_count)]
        nursery.start_soon(self.lateness.run)
        await nursery.start(serve, self.store_port, self.store.handle)
        for domain in "ab":
            for number in range(4):
                await self._add_runner(f"l{domain}{number}", "llm", domain, LAYER_CAPACITY)
            await self._add_runner(f"p{domain}", "crm", domain, 0)
            if self.has_second_service:
                await self._add_runner(f"q{domain}", SECOND_SERVICE, domain, 0)
        for number in range(self.entry_count):
            await self._add_entry(number, "ab"[number % 2])
        nursery.start_soon(self._expire_rows)

    async def _add_runner(self, name: str, service: str, domain: str, layers: int) -> None:
        proxy = Proxy(free_port(), free_port(), follows_target=True)
        await self._nursery.start(proxy.run)
        spec = RunnerSpec(
            name, service, domain, proxy.target, proxy.address, f"{HOST}:{self.store_port}", layers,
            slots=0 if layers else self.plain_slots,
            event_interval_seconds=self.event_interval_seconds,
        )  # fmt: skip
        self.runners.append(RunnerProcess(spec, proxy))
        self.start_runner(self.runners[-1])

    async def _add_entry(self, number: int, domain: str) -> None:
        name = f"e{number}"
        caller_proxy = Proxy(free_port(), free_port(), small_buffers=True)
        store = Proxy(free_port(), self.store_port)
        for proxy in (caller_proxy, store):
            await self._nursery.start(proxy.run)
        ready_port = free_port()
        settings = self.folder / f"{name}.ini"
        text = SETTINGS.format(
            name=name,
            domain=domain,
            platform=store.address,
            host=HOST,
            port=caller_proxy.target,
            ready=ready_port,
            metrics=free_port(),
            peer=self.peer_ports[len(self.entries)],
            peers=",".join(f"{HOST}:{each}" for each in self.peer_ports[:2]),
            grace=STOP_GRACE_SECONDS,
            revocation=self.revocation_seconds,
            retry_ratio=RETRY_RATIO,
            retry_slack=RETRY_SLACK,
            retry_window=RETRY_WINDOW_SECONDS,
        )
        settings.write_text(text, encoding="utf-8")
        entry = Entry(name, settings, caller_proxy.target, ready_port, caller_proxy, store)
        if number == SUSPENDED_ENTRY:
            entry.program = "soak.suspendable"
        self.entries.append(entry)
        self.start_entry(entry)

    def start_runner(self, runner: RunnerProcess, has_new_id: bool = False) -> None:
        """Start a new incarnation of a runner, with no layers held.

        Every second incarnation keeps the id of the one before it, unless it has to be a new one.
        """
        if has_new_id:
            runner.start_count += -runner.start_count % STARTS_PER_ID
        name = f"{runner.spec.instance}.{runner.start_count // STARTS_PER_ID}"
        runner.process_name = name
        runner.start_count += 1
        spec = replace(runner.spec, instance=name, born=int(time() * 1000))
        command = [sys.executable, "-m", "soak.runner", spec.to_json()]
        runner.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self._nursery.start_soon(self._read_records, runner.process, (name, spec.born))

    def configure(self, **changes: object) -> None:
        """Change the configuration and write it to the store, which takes it at once."""
        self.disturbances.plan(PlannedKind.CHANGE)
        self.configuration = replace(self.configuration, **changes)
        self.desired_history.add(trio.current_time(), self.configuration)
        self.store.put_json("op", "config", desired_state(self.configuration))

    def send_order(self, runner: RunnerProcess, **order: object) -> None:
        """Send an order to a runner's standard input; do nothing if the runner has exited."""
        with suppress(BrokenPipeError):
            runner.process.stdin.write(json.dumps(order).encode() + b"\n")
            runner.process.stdin.flush()

    def start_entry(self, entry: Entry) -> None:
        """Start an entry; its log is written to a file beside its settings."""
        entry.start_count += 1
        self.entry_started_at[entry.name].append(trio.current_time())
        entry.is_stopping = False
        environment = {**os.environ, "DECKCOURSE_BOOT": str(entry.settings)}
        with entry.settings.with_suffix(".log").open("ab") as log:
            entry.process = subprocess.Popen(
                [sys.executable, "-m", entry.program],
                stdout=log,
                stderr=log,
                env=environment,
            )

    async def _read_records(self, process: subprocess.Popen, incarnation: tuple[str, int]) -> None:
        stream = trio.lowlevel.FdStream(os.dup(process.stdout.fileno()))
        incomplete_line = b""
        async with stream:
            while data := await stream.receive_some():
                *lines, incomplete_line = (incomplete_line + data).split(b"\n")
                for line in lines:
                    self._add_record(json.loads(line))
        self.runner_ended_at[incarnation] = trio.current_time()

    def _add_record(self, record: dict) -> None:
        record["at"] = trio.current_time()
        self.records.append(record)
        if "aim" in record:
            self._nursery.start_soon(self._pause_entries)
        if "broken" in record:
            self.violations.append(f"{record['broken']}: {record}")
        layers = record.get("layers")
        if layers and not _covers_layers_once(layers):
            self.violations.append(f"a path doesn't run every layer once: {record}")

    async def _pause_entries(self) -> None:
        """Pause all entries briefly.

        When they resume, a control query has timed out and the runner has released its output, so
        that they handle both at once.
        """
        processes = [each.process for each in self.entries]
        for each in self.entries:
            self.disturbances.record(each.name, ENTRY_PAUSE_SECONDS)
        with self.pauses.hold(processes):
            await trio.sleep(ENTRY_PAUSE_SECONDS)

    async def _expire_rows(self) -> None:
        """Remove the rows of runners that no longer write them, as the platform's store does."""
        while True:
            before = self.store.writes.copy()
            await trio.sleep(ROW_TTL_SECONDS)
            for table, key in list(self.store.rows):
                if table == "servers" and self.store.writes[table, key] == before[table, key]:
                    self.store.put(table, key, None)

    async def ready(self, entry: Entry) -> bool:
        """Return whether an entry reports that it is ready."""
        return bool(await self.ask_ready(entry))

    async def ask_ready(self, entry: Entry) -> bool | None:
        """Return whether an entry reports that it is ready, None if no answer comes in time."""
        with trio.move_on_after(READY_TIMEOUT_SECONDS):
            try:
                async with await trio.open_tcp_stream(HOST, entry.ready_port) as stream:
                    await stream.send_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    answer = await stream.receive_some(64)
                    return b" 200 " in answer if answer else None
            except (OSError, trio.BrokenResourceError):
                return None
        return None

    def close(self) -> None:
        """Kill every process that this site has started."""
        for process in [each.process for each in (*self.runners, *self.entries)]:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process is not None:
                process.wait()


def _covers_layers_once(stages: list[list[int]]) -> bool:
    next_layer = 0
    for first, end in stages:
        if first != next_layer or end <= first:
            return False
        next_layer = end
    return next_layer == LAYER_COUNT
