"""Run every scenario and report the failures that KNOWN-RED.txt does not list.

The last line is `N passed, N failed`; the exit code is 0 only if no unlisted scenario
failed and every feature file ran to its end.
"""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Fields of an entry, separated by bars: the test, its command and seed, what was seen, the open
# issue.
KNOWN_RED_FIELD_COUNT = 4
# At the end of an entry's test name: matches every scenario with that prefix, such as all examples
# of a scenario outline.
WILDCARD = "*"
# A feature file that runs longer than this is taken to hang.
FEATURE_TIMEOUT_SECONDS = 400
SOAK = "features/soak.feature"
CONNECTION_SOAK = "features/soak_connections.feature"
PASSED = "passed"
NOT_RUN = ("skipped", "untested")


def read_known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by scenario name or, with the wildcard, name prefix."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text(encoding="utf-8").splitlines() if line.strip()]
    for line in lines:
        fields = [each.strip() for each in line.split("|")]
        if len(fields) != KNOWN_RED_FIELD_COUNT or not all(fields):
            raise SystemExit(f"KNOWN-RED.txt: want test | command, seed | seen | issue, got {line}")
    return {line.split("|")[0].strip(): line for line in lines}


def find_entry(name: str, listed: dict[str, str]) -> str | None:
    """Return the entry that lists a scenario, or None."""
    if name in listed:
        return listed[name]
    prefixes = (each for each in listed if each.endswith(WILDCARD))
    return next((listed[each] for each in prefixes if name.startswith(each[:-1])), None)


def run_behave(feature: str) -> tuple[str, dict[str, str], int, str]:
    """Run one feature file; return its name, scenario statuses, behave's exit code and output."""
    with tempfile.TemporaryDirectory() as directory:
        report = Path(directory) / "report.json"
        formats = ["--format", "json", "--outfile", str(report)]
        command = [sys.executable, "-m", "behave", *formats, "--no-capture", feature]
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        try:
            process = subprocess.run(
                command,
                cwd=ROOT,
                check=False,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                env=environment,
                timeout=FEATURE_TIMEOUT_SECONDS,
            )
        except subprocess.TimeoutExpired:
            return feature, {}, 1, f"{feature} did not end in {FEATURE_TIMEOUT_SECONDS} s"
        text = report.read_text(encoding="utf-8") if report.exists() else "[]"
    statuses = {}
    messages = []
    for element in _scenario_results(text):
        label = f"{element['name']} ({element['location']})"
        statuses[label] = element.get("status", "untested")
        messages += _failure_messages(label, element)
    return feature, statuses, process.returncode, "\n".join([*messages, process.stdout])


def _scenario_results(report: str) -> list[dict]:
    elements = [
        each for feature in json.loads(report or "[]") for each in feature.get("elements", [])
    ]
    return [element for element in elements if element["type"] == "scenario"]


def _failure_messages(label: str, element: dict) -> list[str]:
    results = [step.get("result", {}) for step in element.get("steps", [])]
    errors = [result["error_message"] for result in results if "error_message" in result]
    lines = [error if isinstance(error, list) else error.splitlines() for error in errors]
    return ["\n".join([label, *error[:12]]) for error in lines]


def run_all(features: list[str]) -> tuple[dict[str, str], list[str]]:
    """Run the files in parallel; return the scenario statuses and the files that did not finish."""
    statuses: dict[str, str] = {}
    incomplete: list[str] = []
    workers = max(1, (os.cpu_count() or 2) // 2)
    with ThreadPoolExecutor(workers) as pool:
        for feature, feature_statuses, code, output in pool.map(run_behave, features):
            statuses |= feature_statuses
            failing = [
                status for status in feature_statuses.values() if status not in (PASSED, *NOT_RUN)
            ]
            print(f"{feature}: {len(feature_statuses)} scenarios, {len(failing)} red", flush=True)
            if code != 0:
                print(output)
            if not feature_statuses or (code != 0 and not failing):
                incomplete.append(feature)
    return statuses, incomplete


def main() -> int:
    """Run the given feature files, or all, and print a summary; return the exit code."""
    features = sys.argv[1:] or sorted(
        (str(path.relative_to(ROOT)) for path in (ROOT / "features").glob("*.feature")),
        # Those that take longest begin first; no more than two soaks run at a time.
        key=lambda name: (
            "processes" not in name and name != SOAK,
            "fault_matrix" not in name and name != CONNECTION_SOAK,
            name,
        ),
    )
    statuses, incomplete = run_all(features)
    listed = read_known_red()
    passed = [name for name, status in statuses.items() if status == PASSED]
    failing = [name for name, status in statuses.items() if status not in (PASSED, *NOT_RUN)]
    entries = {name: find_entry(name.rsplit(" (", 1)[0], listed) for name in failing}
    known_failures = [name for name, entry in entries.items() if entry is not None]
    failed = [name for name in failing if name not in known_failures]
    for name in known_failures:
        print(f"known red, passed over: {name}: {entries[name]}")
    for name in failed:
        print(f"failed: {name}")
    for feature in incomplete:
        print(f"failed: {feature} did not run to its end")
    failed += incomplete
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
