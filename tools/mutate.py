"""Disable one mechanism at a time and report the first scenario that fails without it.

Writes docs/MUTANTS.md. The exit code is 1 if no scenario fails for some mutant: no scenario covers
that mechanism, and the page says so.
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
FEATURE_TIMEOUT_SECONDS = 300

sys.path.insert(0, str(FEATURES))

from mutants import MUTANTS  # noqa: E402 - importable only with the path set above


def run_mutant(name: str) -> tuple[str, str]:
    """Run the features of a mutant; return its name and the first failed scenario, if any."""
    for feature in MUTANTS[name].features:
        failure = first_failure(name, FEATURES / f"{feature}.feature")
        if failure:
            return name, f"{feature}: {failure}"
    return name, ""


def first_failure(name: str, feature: Path) -> str:
    environment = {**os.environ, "DECKCOURSE_MUTANT": name, "PYTHONHASHSEED": "0"}
    command = [sys.executable, "-m", "behave", "--stop", "--no-capture", str(feature)]
    try:
        process = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            check=False,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=FEATURE_TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return "did not end"
    if process.returncode == 0:
        return ""
    match = re.search(r"(?:Failing|Errored) scenarios:\s+\S+\s+(.*)", process.stdout)
    if match is None:
        return "behave itself broke: " + process.stdout[-300:]
    return match[1].strip()


def render_page(results: dict[str, str]) -> str:
    """Render the page in Markdown."""
    failed = sum(bool(failure) for failure in results.values())
    lines = [
        "# Mutants",
        "",
        "Written by `make mutate`: each row switches off one mechanism and names the first",
        "scenario that went red. Without the mutant the same scenarios are green (`make test`).",
        "",
        f"Run on {date.today()}: {failed} of {len(results)} went red.",
        "",
        "| mutant | what is switched off | first red scenario |",
        "|---|---|---|",
    ]
    for name, failure in results.items():
        cell = failure or "**none: not proved**"
        lines.append(f"| {name} | {MUTANTS[name].mechanism} | {cell} |")
    return "\n".join(lines) + "\n"


def main() -> int:
    """Run the mutants named on the command line, or all, and write the page after a full run."""
    names = sys.argv[1:] or list(MUTANTS)
    with ThreadPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        results = {}
        for name, failure in pool.map(run_mutant, names):
            results[name] = failure
            print(f"{name}: {failure or 'STAYED GREEN'}", flush=True)
    if not sys.argv[1:]:
        PAGE.write_text(render_page(results), encoding="utf-8")
    return 0 if all(results.values()) else 1


if __name__ == "__main__":
    raise SystemExit(main())
