"""The program deckcourse-bench: experiments with seeds, a JSON object a line."""

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import msgspec

from deckcourse.bench import POLICIES, bench_goodput, bench_quota, bench_recovery
from deckcourse.layer_bench import LAYER_POLICIES, bench_layers
from deckcourse.relay_bench import bench_relay

__all__ = ["main"]

LOADS = (0.5, 1.0, 2.0, 3.0)
FAULTS = ("kill", "freeze", "cut")
PATTERNS = ("evenly", "at one entry", "at one entry, then at another")
QUOTA_DEMAND = 900.0
LOST_HOSTS = (1, 2, 3)
EXPERIMENTS = ("goodput", "recovery", "quota", "relay", "layers")


@dataclass
class BenchCommand:
    """Run experiments on stand-ins; each line of the output is a JSON object."""

    experiment: Annotated[str, cappa.Arg(help=f"one of {', '.join(EXPERIMENTS)}, all")]
    seed: Annotated[int, cappa.Arg(long=True, help="for arrivals, draws and faults")] = 1
    runs: Annotated[
        int,
        cappa.Arg(long=True, help="runs of each fault in recovery, draws of each domain in layers"),
    ] = 100


def _goodput(command: BenchCommand) -> Iterator[dict[str, Any]]:
    for load in LOADS:
        for policy in POLICIES:
            yield bench_goodput(policy, load, command.seed)


def _recovery(command: BenchCommand) -> Iterator[dict[str, Any]]:
    for fault in FAULTS:
        yield bench_recovery(fault, command.runs, command.seed)


def _quota(command: BenchCommand) -> Iterator[dict[str, Any]]:
    for pattern in PATTERNS:
        yield bench_quota(pattern, QUOTA_DEMAND, command.seed)


def _relay(command: BenchCommand) -> Iterator[dict[str, Any]]:
    yield bench_relay()


def _layers(command: BenchCommand) -> Iterator[dict[str, Any]]:
    for lost in LOST_HOSTS:
        for policy in LAYER_POLICIES:
            yield bench_layers(policy, lost, command.runs, command.seed)


RUNNERS = {
    "goodput": _goodput,
    "recovery": _recovery,
    "quota": _quota,
    "relay": _relay,
    "layers": _layers,
}


def main() -> None:
    """Run the program; exit code 2 for an experiment that there isn't."""
    command = cappa.parse(BenchCommand)
    chosen = EXPERIMENTS if command.experiment == "all" else (command.experiment,)
    if not set(chosen) <= set(EXPERIMENTS):
        wanted = ", ".join((*EXPERIMENTS, "all"))
        print(f"deckcourse-bench: {command.experiment}: want one of {wanted}", file=sys.stderr)
        raise SystemExit(2)
    for name in chosen:
        for result in RUNNERS[name](command):
            line = msgspec.json.encode({"experiment": name, **result})
            print(line.decode(), flush=True)
