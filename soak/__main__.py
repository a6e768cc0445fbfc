"""Runs seeds of the soak: `python -m soak [--seconds N] [--jobs N] [--only KIND] SEED...`.

Each seed runs in a process of its own; the exit code is 1 if one of them violated a guarantee. The
guarantees are those of docs/PROOFS.md, as callers and runners observe them.
"""

import argparse
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

from soak.kinds import KINDS, find_conflict
from soak.profiles import PROFILES, USUAL
from soak.seed_play import Options, run_seed
from soak.site import ENTRY_COUNT


def main() -> int:
    """Run the seeds of the command line, several at once."""
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument("--seconds", type=float, default=12.0, help="how long faults are injected")
    parser.add_argument("--jobs", type=int, default=2, help="seeds that run at the same time")
    parser.add_argument(
        "--entries", type=int, default=ENTRY_COUNT, help="number of entry processes"
    )
    parser.add_argument(
        "--only",
        action="append",
        default=[],
        choices=sorted(KINDS),
        metavar="KIND",
        help="play one kind; may be repeated. Kinds: "
        + "; ".join(f"{name}: {kind.description}" for name, kind in sorted(KINDS.items())),
    )
    parser.add_argument(
        "--attempts", type=int, help="maxAttempts of the idempotent routes, if not the usual one"
    )
    parser.add_argument("--profile", choices=sorted(PROFILES), default=USUAL, help="kind of site")
    parser.add_argument("seeds", nargs="+", type=int)
    given = parser.parse_args()
    options = Options(
        given.seconds, tuple(given.only), given.entries, given.attempts, given.profile
    )
    conflict = find_conflict(options.only, options.entry_count)
    if conflict:
        parser.error(conflict)
    if len(given.seeds) == 1:
        return run_seed(given.seeds[0], options)

    def run_in_subprocess(seed: int) -> int:
        command = [sys.executable, "-m", "soak", *options.arguments, str(seed)]
        return subprocess.run(command, check=False).returncode

    with ThreadPoolExecutor(given.jobs) as pool:
        codes = list(pool.map(run_in_subprocess, given.seeds))
    print(f"{codes.count(0)} seeds kept every promise, {len(codes) - codes.count(0)} did not")
    return max(codes)


if __name__ == "__main__":
    sys.exit(main())
