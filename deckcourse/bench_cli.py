"""The program deckcourse-bench: runs seeded experiments and prints one JSON object per result."""

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

LOAD_FACTORS = (0.5, 1.0, 2.0, 3.0)
FAULTS = ("kill", "freeze", "cut")
QUOTA_PATTERNS = ("evenly", "at one entry", "at one entry, then at another")
QUOTA_DEMAND_TOKENS_PER_SECOND = 900.0
LOST_HOST_COUNTS = (1, 2, 3)
EXPERIMENTS = ("goodput", "recovery", "quota", "relay", "layers")


@dataclass
class BenchCommand:
    """Run experiments on simulated engines; each line of the output is a JSON object."""

    experiment: Annotated[str, cappa.Arg(help=f"one of {', '.join(EXPERIMENTS)}, all")]
    seed: Annotated[int, cappa.Arg(long=True, help="seed of arrivals, draws and faults")] = 1
    runs: Annotated[
        int,
        cappa.Arg(long=True, help="runs per fault in recovery, draws per domain in layers"),
    ] = 100


def _run_goodput(command: BenchCommand) -> Iterator[dict[str, Any]]:
    for load in LOAD_FACTORS:
        for policy in POLICIES:
            yield bench_goodput(policy, load, command.seed)


def _run_recovery(command: BenchCommand) -> Iterator[dict[str, Any]]:
    for fault in FAULTS:
        yield bench_recovery(fault, command.runs, command.seed)


def _run_quota(command: BenchCommand) -> Iterator[dict[str, Any]]:
    for pattern in QUOTA_PATTERNS:
        yield bench_quota(pattern, QUOTA_DEMAND_TOKENS_PER_SECOND, command.seed)


def _run_relay(command: BenchCommand) -> Iterator[dict[str, Any]]:
    yield bench_relay()


def _run_layers(command: BenchCommand) -> Iterator[dict[str, Any]]:
    for lost in LOST_HOST_COUNTS:
        for policy in LAYER_POLICIES:
            yield bench_layers(policy, lost, command.runs, command.seed)


EXPERIMENT_FUNCTIONS = {
    "goodput": _run_goodput,
    "recovery": _run_recovery,
    "quota": _run_quota,
    "relay": _run_relay,
    "layers": _run_layers,
}


def main() -> None:
    """Run the program; exit with code 2 if the experiment is unknown."""
    command = cappa.parse(BenchCommand)
    chosen = EXPERIMENTS if command.experiment == "all" else (command.experiment,)
    if not set(chosen) <= set(EXPERIMENTS):
        allowed = ", ".join((*EXPERIMENTS, "all"))
        print(
            f"deckcourse-bench: unknown experiment {command.experiment}: choose one of {allowed}",
            file=sys.stderr,
        )
        raise SystemExit(2)
    for name in chosen:
        for result in EXPERIMENT_FUNCTIONS[name](command):
            line = msgspec.json.encode({"experiment": name, **result})
            print(line.decode(), flush=True)
