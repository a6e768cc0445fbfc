"""Switches off one mechanism at a time and tells which scenario goes red without it.

Writes docs/MUTANTS.md. The exit code is 1 where a mutant stays green: then the mechanism isn't
proved, and the page lists it.
"""

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from datetime import date
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FEATURES = ROOT / "features"
PAGE = ROOT / "docs" / "MUTANTS.md"
LIMIT_SECONDS = 300

sys.path.insert(0, str(FEATURES))

from mutants import MUTANTS  # noqa: E402 - found on the path set above


def run(name: str) -> tuple[str, str]:
    """Run a mutant against its features; return its name and the first red scenario, if any."""
    for feature in MUTANTS[name].features:
        red = first_red(name, FEATURES / f"{feature}.feature")
        if red:
            return name, f"{feature}: {red}"
    return name, ""


def first_red(name: str, feature: Path) -> str:
    environment = {**os.environ, "DECKCOURSE_MUTANT": name, "PYTHONHASHSEED": "0"}
    command = [sys.executable, "-m", "behave", "--stop", "--no-capture", str(feature)]
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            check=False,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=LIMIT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return "did not end"
    if done.returncode == 0:
        return ""
    failing = re.search(r"(?:Failing|Errored) scenarios:\s+\S+\s+(.*)", done.stdout)
    if failing is None:
        return "behave itself broke: " + done.stdout[-300:]
    return failing[1].strip()


def page(results: dict[str, str]) -> str:
    """Return the page."""
    red = sum(bool(found) for found in results.values())
    lines = [
        "# Mutants",
        "",
        "Written by `make mutate`: each row switches off one mechanism and names the first",
        "scenario that went red. Without the mutant the same scenarios are green (`make test`).",
        "",
        f"Run on {date.today()}: {red} of {len(results)} went red.",
        "",
        "| mutant | what is switched off | first red scenario |",
        "|---|---|---|",
    ]
    for name, found in results.items():
        seen = found or "**none: not proved**"
        lines.append(f"| {name} | {MUTANTS[name].mechanism} | {seen} |")
    return "\n".join(lines) + "\n"


def main() -> int:
    """Run all mutants, or those named."""
    names = sys.argv[1:] or list(MUTANTS)
    with ThreadPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        results = {}
        for name, found in pool.map(run, names):
            results[name] = found
            print(f"{name}: {found or 'STAYED GREEN'}", flush=True)
    if not sys.argv[1:]:
        PAGE.write_text(page(results), encoding="utf-8")
    return 0 if all(results.values()) else 1


if __name__ == "__main__":
    raise SystemExit(main())
