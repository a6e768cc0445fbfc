"""A small deployment on loopback: the store, plain runners and the entries' own processes."""

import asyncio
import os
import signal
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from standins2.service import Runner
from standins2.store import Store
from standins2.wire import HOST, Message, ask, free_port

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "contactMs": 3000,
    "lossSlackMs": 200,
    "graceS": 8,
    "revokeMs": 5000,
    "configApplyMs": 2000,
    "drainMs": 2000,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 202,
    "budgetWindowS": 10,
}
SETTINGS = """[node]
name = {name}
domain = {zone}
platform = {host}:{store}
peers = {seeds}

[gateway]
listen = {host}:{front}
ready_listen = {host}:{ready}
metrics_listen = {host}:{metrics}
peer_listen = {host}:{control}
peer_weight = 1000.0
stop_grace = {bounds[graceS]} s
revocation = {bounds[revokeMs]} ms
retry_ratio = {bounds[retryBudgetRatio]}
retry_slack = {bounds[budgetSlack]}
retry_window = {bounds[budgetWindowS]} s

[load]
start_wait = true
shared_losses = true
watch_connections = true
onward_spread = true
reader_timeout = 5 s
held_bytes = 32 MiB
"""


class CannotRunError(Exception):
    """The case could not be set up."""


@dataclass
class Entry:
    """One entry instance: its process and its ports."""

    name: str
    zone: str
    front: int = field(default_factory=free_port)
    ready: int = field(default_factory=free_port)
    metrics: int = field(default_factory=free_port)
    control: int = field(default_factory=free_port)
    store: int = field(default_factory=free_port)
    process: subprocess.Popen | None = None

    def pause(self) -> None:
        """Freeze the process."""
        self.process.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Let the process run again."""
        self.process.send_signal(signal.SIGCONT)


class Site:
    """All processes and stand-ins of a case; `record` writes a line to record.txt."""

    def __init__(self, folder: Path, zones: dict[str, int]) -> None:
        self.store = Store()
        self.runners: list[Runner] = []
        self.entries = [
            Entry(f"front-{zone}-{number + 1}", zone)
            for zone, count in zones.items()
            for number in range(count)
        ]
        self._temporary = tempfile.TemporaryDirectory()
        self._began_at = time.monotonic()
        self._record = (folder / "record.txt").open("w", encoding="utf-8")

    def record(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._record.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
        self._record.flush()

    async def add_runner(self, runner: Runner) -> None:
        """Start a runner and enter it into the store."""
        self.runners.append(runner)
        await runner.start()
        self.store.put_json("servers", runner.name, runner.row())

    async def start_entries(self, seconds: float = 40.0) -> None:
        """Start all entries and wait until each one is ready."""
        for each in self.entries:
            await self.store.listen(each.store, each.name)
            self.start_entry(each)
        deadline = time.monotonic() + seconds
        for each in self.entries:
            while not await self.is_ready(each):
                if time.monotonic() > deadline or each.process.poll() is not None:
                    raise CannotRunError(f"{each.name} is not ready")
                await asyncio.sleep(0.2)
        self.record("all entries are ready")

    def start_entry(self, entry: Entry) -> None:
        """Start the process of an entry with the command of the deploy file."""
        zones = {each.zone: each for each in reversed(self.entries)}
        settings = Path(self._temporary.name) / f"{entry.name}.ini"
        text = SETTINGS.format(
            name=entry.name,
            zone=entry.zone,
            host=HOST,
            store=entry.store,
            seeds=",".join(f"{HOST}:{each.control}" for each in zones.values()),
            front=entry.front,
            ready=entry.ready,
            metrics=entry.metrics,
            control=entry.control,
            bounds=BOUNDS,
        )
        settings.write_text(text, encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": self._temporary.name,
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "DECKCOURSE_BOOT": str(settings),
            "DECKCOURSE_CONTACT_MS": str(BOUNDS["contactMs"]),
            "DECKCOURSE_READ_SLACK_MS": str(BOUNDS["lossSlackMs"]),
        }
        with (Path(self._temporary.name) / f"{entry.name}.log").open("ab") as log:
            entry.process = subprocess.Popen(
                deploy["roles"]["gateway"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def log_lines(self, entry: Entry) -> list[str]:
        """Return what an entry has written so far."""
        path = Path(self._temporary.name) / f"{entry.name}.log"
        return path.read_text(encoding="utf-8").splitlines()

    async def is_ready(self, entry: Entry) -> bool:
        """Return whether an entry says that it is ready."""
        reply = await ask(entry.ready, b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n", 0.5)
        return reply is not None and reply.status == 200

    async def send(
        self,
        entry: Entry,
        request_id: str,
        path: str,
        key: str = "",
        seconds: float = 3.0,
        method: str = "GET",
    ) -> Message | None:
        """Send a caller's request to an entry; return the answer, None without one in time."""
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: site.example",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {int(seconds * 1000)}",
        ]
        if key:
            lines.append(f"Authorization: Token {key}")
        return await ask(entry.front, ("\r\n".join(lines) + "\r\n\r\n").encode(), seconds)

    def close(self) -> None:
        """End all processes that were started."""
        for each in self.entries:
            if each.process is not None and each.process.poll() is None:
                each.wake()
                each.process.kill()
            if each.process is not None:
                each.process.wait()
        for runner in self.runners:
            for at, request_id, target, account in runner.runs:
                seconds = at - self._began_at
                self._record.write(
                    f"{seconds:8.3f} {runner.name} ran {request_id} {target} {account}\n"
                )
        self._record.close()
        self._temporary.cleanup()


def desired_state(
    version: int,
    routes: list[dict],
    services: list[str],
    tenants: list[dict] | None = None,
) -> dict[str, object]:
    """Return a desired state as an operator writes it; without `tenants` it has none."""
    state: dict[str, object] = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": each, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}
            for each in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return state if tenants is None else {**state, "tenants": tenants}


def route(name: str, prefix: str, service: str, kind: str = "idempotent") -> dict[str, object]:
    """Return a route to a plain service."""
    return {
        "name": name,
        "host": "site.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 1500,
        "sloMs": 300,
        "priority": 2,
        "service": service,
        "maxAttempts": 1,
        "public": False,
    }
