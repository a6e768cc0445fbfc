"""A site of real processes on loopback: the daemons and the stand-ins of upstreams and platform."""

import http.client
import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import trio

from deckcourse.errors import CommandError
from deckcourse.porcelain import Operator, confirm_plan, hash_key, state_intent, status

BIN = Path(sys.executable).parent
KEY = "a-caller's-key"
TOKEN = "an-operator's-token"
MODEL = "m"
DEPTH = 12
START_TIMEOUT_SECONDS = 30
POLL_INTERVAL_SECONDS = 0.05
BALANCER_LAG_MS = 1500


_ports = itertools.count(10_000)


def own_address() -> str:
    """Return an address that only this test process uses, below the ephemeral ports."""
    number = os.getpid()
    return f"127.{16 + number // 65536 % 64}.{number // 256 % 256}.{number % 256}:{next(_ports)}"


class Reply:
    """A complete HTTP reply."""

    def __init__(self, status_code: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status_code
        self.headers = headers
        self.body = body

    @property
    def json(self):
        return json.loads(self.body)


class Processes:
    """A site of real processes; `stop` kills each by its process id."""

    def __init__(self, engines: int = 7, entries: int = 2, controllers: int = 2) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="deckcourse-"))
        self.children: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}
        self.engines = [f"runner-{number}" for number in range(1, engines + 1)]
        self.entries = [f"entry-{number}" for number in range(1, entries + 1)]
        self.controllers = [f"controller-{number}" for number in range(1, controllers + 1)]
        self.services = ["vans-1"]

    def start(self) -> "Processes":
        """Start all processes, load a model and create an account."""
        platform = own_address()
        self.addresses["platform"] = platform
        self._start_upstreams()
        self._spawn(
            "platform", "deckcourse-standin", "platform", platform, *self._write_instances()
        )
        for number, name in enumerate(self.entries + self.controllers):
            self._start_daemon(name, number)
        for name in [*self.children]:
            self._wait_for_port(name)
        self._configure_site()
        return self

    def _start_upstreams(self) -> None:
        for number, name in enumerate(self.engines):
            self.addresses[name] = own_address()
            domain = f"hall-{'abc'[number % 3]}"
            options = ["--domain", domain, "--layer-rate", "300", "--layer-room", "4"]
            options += ["--runs", str(self.folder / f"{name}.runs")]
            self._spawn(name, "deckcourse-standin", "engine", name, self.addresses[name], *options)
        for name in self.services:
            self.addresses[name] = own_address()
            options = ["--seconds", "0.4", "--runs", str(self.folder / f"{name}.runs")]
            self._spawn(name, "deckcourse-standin", "service", name, self.addresses[name], *options)

    def _write_instances(self) -> list[str]:
        lines = [
            {
                "name": name,
                "incarnation": 1,
                "kind": "runner",
                "address": self.addresses[name],
                "domain": f"hall-{'abc'[number % 3]}",
            }
            for number, name in enumerate(self.engines)
        ]
        lines += [
            {
                "name": name,
                "incarnation": 1,
                "kind": "service",
                "address": self.addresses[name],
                "domain": "hall-a",
                "service": "vans",
            }
            for name in self.services
        ]
        for name in self.entries + self.controllers:
            self.addresses[name] = own_address()
            self.addresses[f"{name} peers"] = own_address()
            lines.append(
                {
                    "name": name,
                    "incarnation": 1,
                    "kind": "router",
                    "address": "",
                    "domain": "hall-a",
                    "peer_addresses": [self.addresses[f"{name} peers"]],
                }
            )
        path = self.folder / "instances.json"
        path.write_text(json.dumps(lines), encoding="utf-8")
        return ["--instances", str(path)]

    def _write_settings(self, name: str) -> Path:
        """Write the settings file of a daemon and return its path."""
        role = name.partition("-")[0]
        token = self.folder / "operator.token"
        token.write_text(TOKEN, encoding="utf-8")
        lines = [
            "[node]",
            f"name = {name}",
            "domain = hall-a",
            f"platform = {self.addresses['platform']}",
            f"[{role}]",
            f"listen = {self.addresses[name]}",
            f"peer_listen = {self.addresses[f'{name} peers']}",
        ]
        if role == "entry":
            lines += [f"balancer_lag = {BALANCER_LAG_MS}ms", "longest_stop = 20s"]
        else:
            lines += [f"token_file = {token}"]
        path = self.folder / f"{name}.ini"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def _start_daemon(self, name: str, number: int) -> None:
        program = f"deckcourse-{name.partition('-')[0]}"
        self._spawn(name, program, "--settings", str(self._write_settings(name)))

    def _spawn(self, name: str, program: str, *arguments: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        self.children[name] = subprocess.Popen(
            [str(BIN / program), *arguments], stdout=log, stderr=log, cwd=self.folder
        )
        log.close()

    def _wait_for_port(self, name: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            text = self.log(name)
            if " listens on " in text:
                return
            assert self.children[name].poll() is None, text
            time.sleep(POLL_INTERVAL_SECONDS)
        raise AssertionError(f"{name} did not start: {self.log(name)}")

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    def operator(self, number: int = 1) -> Operator:
        return Operator(self.addresses[f"controller-{number}"], TOKEN)

    def _configure_site(self) -> None:
        self.wait_until(lambda: len(self._runners_with_model("")) == len(self.engines))
        account = {"kind": "account", "account": "tenants", "key_hash": hash_key(KEY)}
        self.intend(account | {"tokens_per_second": 10000.0})
        self.intend({"kind": "service", "service": "vans", "repeatable": False})
        self.intend({"kind": "serve", "model": MODEL, "depth": DEPTH, "capacity": 50.0})
        self.wait_until(lambda: len(self._runners_with_model(MODEL)) >= 6)
        for name in self.entries:
            self.wait_until(lambda name=name: self._completes(name))

    def _completes(self, entry: str) -> bool:
        return self.complete(entry, 1).status == 200

    def _runners_with_model(self, model: str) -> list:
        try:
            runners = trio.run(status, self.operator())["runners"]
        except CommandError:
            return []
        return [each for each in runners if each["load"] and each["load"]["model"] == model]

    def intend(self, intent: dict, number: int = 1) -> None:
        """State an intent and confirm its plan; retry on errors until the timeout."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while True:
            try:
                plan = trio.run(state_intent, self.operator(number), intent)
                trio.run(confirm_plan, self.operator(number), plan["name"])
                return
            except CommandError:
                assert time.monotonic() < deadline, f"{intent} was not accepted"
                time.sleep(0.5)

    def wait_until(self, condition, seconds: float = START_TIMEOUT_SECONDS) -> None:
        deadline = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < deadline, "the condition was not met in time"
            time.sleep(POLL_INTERVAL_SECONDS)

    def send(self, name: str, signal_name: str) -> None:
        """Send a signal to a child process."""
        os.kill(self.children[name].pid, getattr(signal, signal_name))

    def connect(self, entry: str, seconds: float = 30.0) -> http.client.HTTPConnection:
        host, _, port = self.addresses[entry].rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=seconds)

    def request(self, entry: str, method: str, path: str, body=b"", headers=None, key=KEY) -> Reply:
        """Send a request and return its complete reply."""
        connection = self.connect(entry)
        all_headers = {"authorization": f"Bearer {key}", **(headers or {})}
        connection.request(method, path, body, all_headers)
        response = connection.getresponse()
        reply = Reply(response.status, dict(response.getheaders()), response.read())
        connection.close()
        return reply

    def complete(self, entry: str, tokens: int) -> Reply:
        body = {"model": MODEL, "prompt": "hello there", "max_tokens": tokens}
        return self.request(entry, "POST", "/v1/completions", json.dumps(body).encode())

    def runs(self, name: str) -> list[dict]:
        """Return the records that a stand-in has written of its executions."""
        path = self.folder / f"{name}.runs"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_bytes().splitlines()]

    def stop(self) -> None:
        """Kill every child process that is still running, by its process id."""
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            child.wait()
