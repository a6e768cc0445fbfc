"""A small site on loopback: a store, plain runners and processes of the project as deployed."""

import asyncio
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from random import SystemRandom
from time import monotonic

from lab.store import Store
from lab.wire import Caller, free_port, serve

__all__ = ["KEY", "TENANT", "CannotRunError", "Site", "caller_headers", "desired_state"]

ROOT = Path(__file__).resolve().parents[2]
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST_NAME = "ficu95.example"
START_SECONDS = 20.0
RECOVERY_POLL_SECONDS = 0.1
# Lines of a process's log that are shown if it doesn't become ready.
LOG_TAIL = 20


class CannotRunError(Exception):
    """The case could not be run."""


class Site:
    """The processes of one run; `log` lines go to the case's record.

    Args:
      record: the file that the record is written to.
    """

    def __init__(self, record: Path) -> None:
        self.store = Store()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.runner_lines: list[dict] = []
        self._record = record.open("w", encoding="utf-8")
        self._started_at = monotonic()
        numbers = SystemRandom()
        self._network = f"127.{numbers.randint(40, 250)}.{numbers.randint(1, 250)}"
        self._processes: list[subprocess.Popen] = []
        self._readers: list[asyncio.Task] = []
        self.store_address = ""
        self.gateways: dict[str, dict] = {}

    def log(self, **fields: object) -> None:
        """Write one line to the record."""
        at = round(monotonic() - self._started_at, 3)
        self._record.write(json.dumps({"at": at, **fields}) + "\n")
        self._record.flush()

    def host(self, number: int) -> str:
        """Return an address of this run's own loopback network."""
        return f"{self._network}.{number}"

    async def start_store(self) -> None:
        """Start the store."""
        host = self.host(1)
        port = free_port(host)
        await serve(host, port, self.store.handle)
        self.store_address = f"{host}:{port}"

    def start_runner(self, **spec: object) -> subprocess.Popen:
        """Start one boot of a runner."""
        spec = {"store": self.store_address, "slots": 6, "work_s": 0.06, "size": 800, **spec}
        spec = {"unframed": False, "pause_s": 0.0, "queues_bodies": False, **spec}
        process = subprocess.Popen(
            [sys.executable, "-m", "lab.runner", json.dumps(spec)],
            cwd=ROOT / "review",
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            start_new_session=True,
        )
        self._processes.append(process)
        self._readers.append(asyncio.create_task(self._read_lines(process)))
        self.log(event="runner started", id=spec["id"], address=spec["address"])
        return process

    async def _read_lines(self, process: subprocess.Popen) -> None:
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, process.stdout)
        while line := await reader.readline():
            fields = json.loads(line)
            self.runner_lines.append(fields)
            self.log(**fields)

    def tell(self, runner: subprocess.Popen, line: str) -> None:
        """Write a line to a runner's standard input."""
        runner.stdin.write(line.encode() + b"\n")
        runner.stdin.flush()

    async def start_gateways(
        self, zones: list[str], bounds: dict[str, object], store_addresses: tuple[str, ...] = ()
    ) -> None:
        """Start one process in each zone, and wait until all of them are ready.

        Args:
          zones: the zones.
          bounds: the bounds in the settings.
          store_addresses: where each process finds the store; the store's own by default.
        """
        # Ports are alike on all machines; that for peers must not be one of those drawn below.
        control_port = free_port(self.host(11))
        hosts = {f"front-{zone}-1": self.host(11 + at) for at, zone in enumerate(zones)}
        seeds = [f"{host}:{control_port}" for host in hosts.values()]
        stores = store_addresses or (self.store_address,) * len(zones)
        for (name, host), zone, store in zip(hosts.items(), zones, stores, strict=True):
            fields = {
                "nodeName": name,
                "zone": zone,
                "ip": host,
                "seeds": seeds,
                "platform": {"address": store},
                "listen": {
                    "front": f"{host}:{_other_port(host, control_port)}",
                    "ready": f"{host}:{_other_port(host, control_port)}",
                    "control": f"{host}:{control_port}",
                },
                "limits": {"linkMbps": 1000.0},
                "bounds": bounds,
            }
            self.gateways[name] = {"fields": fields}
            self.start_gateway(name)
        for name in hosts:
            await self.wait_until_ready(name)

    def start_gateway(self, name: str) -> subprocess.Popen:
        """Start the program of the deploy file with a settings file filled from its template."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["gateway"]
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings = self.folder / f"{name}.ini"
        settings.write_text(_fill(template, self.gateways[name]["fields"]), encoding="utf-8")
        with (self.folder / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                stdout=output,
                stderr=output,
                start_new_session=True,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "DECKCOURSE_BOOT": str(settings),
                },
            )
        self._processes.append(process)
        self.gateways[name]["process"] = process
        self.log(event="process started", name=name)
        return process

    async def wait_until_ready(self, name: str) -> None:
        """Wait until a process calls itself ready, as the balancer asks it.

        Raises:
          CannotRunError: it did not in time.
        """
        host, port = self.gateways[name]["fields"]["listen"]["ready"].split(":")
        deadline = monotonic() + START_SECONDS
        while monotonic() < deadline:
            caller = Caller(host, int(port))
            answer = await caller.ask("GET", "/v1/ready", {"Host": host}, b"", 1.0)
            caller.close()
            if answer.status == 200:
                return
            await asyncio.sleep(RECOVERY_POLL_SECONDS)
        for line in self.log_lines(name)[-LOG_TAIL:]:
            self.log(event="the process wrote", line=line)
        raise CannotRunError(f"{name} is not ready after {START_SECONDS} s")

    def caller(self, name: str) -> Caller:
        """Return a new connection of a caller to a process."""
        host, port = self.gateways[name]["fields"]["listen"]["front"].split(":")
        return Caller(host, int(port))

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the project."""
        self.gateways[name]["process"].send_signal(number)
        self.log(event="signal", name=name, signal=number.name)

    def log_lines(self, name: str) -> list[str]:
        """Return what a process wrote so far."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8").splitlines()

    async def stop(self) -> None:
        """End all processes that this run started, and remove its folder."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        await asyncio.gather(*self._readers, return_exceptions=True)
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def _other_port(host: str, taken: int) -> int:
    """Return a free port other than the given one."""
    while (port := free_port(host)) == taken:
        pass
    return port


def caller_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a caller's request, as the pages describe them."""
    return {
        "Host": HOST_NAME,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
    }


def desired_state(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a whole desired state with one client account."""
    return {
        "version": version,
        "routes": [{"host": HOST_NAME, **each} for each in routes],
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }


def _fill(template: str, fields: dict) -> str:
    """Fill the gaps of a template: a value each, commas between the entries of a list."""

    def value(match: re.Match) -> str:
        found: object = fields
        for name in match[1].split("."):
            found = found[name]
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)
