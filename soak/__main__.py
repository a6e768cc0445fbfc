"""Runs seeds of the soak: `python -m soak [--seconds N] [--jobs N] [--only KIND] SEED...`.

With `--draw 2` or `--draw 3` instead of `--only`, each seed draws what it plays.

Each seed runs in a process of its own; the exit code is 1 if one of them violated a guarantee. The
guarantees are those of docs/PROOFS.md, as callers and runners observe them.
"""

import argparse
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

from soak.draws import draw_options
from soak.kinds import KINDS, find_conflict
from soak.profiles import PROFILES, USUAL
from soak.seed_play import Options, run_seed
from soak.site import ENTRY_COUNT

__all__ = ["make_parser", "read_options"]


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
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
    parser.add_argument(
        "--draw",
        type=int,
        choices=(2, 3),
        help="let each seed draw so many kinds, the profile, the attempts and the entries",
    )
    parser.add_argument("seeds", nargs="+", type=int)
    return parser


def read_options(given: argparse.Namespace) -> Options:
    """Return what all seeds play, but for what they draw."""
    return Options(given.seconds, tuple(given.only), given.entries, given.attempts, given.profile)


def main() -> int:
    """Run the seeds of the command line, several at once."""
    parser = make_parser()
    given = parser.parse_args()
    options = read_options(given)
    conflict = find_conflict(options.only, options.entry_count)
    if conflict:
        parser.error(conflict)
    if given.draw and given.only:
        parser.error("--draw chooses the kinds itself; leave out --only, or --draw")
    by_seed = {
        seed: draw_options(seed, given.draw, options) if given.draw else options
        for seed in given.seeds
    }
    if given.draw:
        for seed, drawn in by_seed.items():
            print(f"python -m soak {' '.join(drawn.arguments)} {seed}", flush=True)
    if len(given.seeds) == 1:
        return run_seed(given.seeds[0], by_seed[given.seeds[0]])

    def run_in_subprocess(seed: int) -> int:
        command = [sys.executable, "-m", "soak", *by_seed[seed].arguments, str(seed)]
        return subprocess.run(command, check=False).returncode

    with ThreadPoolExecutor(given.jobs) as pool:
        codes = list(pool.map(run_in_subprocess, given.seeds))
    print(f"{codes.count(0)} seeds kept every promise, {len(codes) - codes.count(0)} did not")
    return max(codes)


if __name__ == "__main__":
    sys.exit(main())
