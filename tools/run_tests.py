"""Runs every scenario, passes over those that KNOWN-RED.txt lists, and counts the rest.

The last line is `N passed, N failed`; the exit code is 0 only where nothing else failed.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3
GOOD = "passed"
NOT_RUN = ("skipped", "untested")


def known_red() -> dict[str, str]:
    """Return the listed scenarios, by name, with the whole line of each."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text(encoding="utf-8").splitlines() if line.strip()]
    if len(lines) > MOST_KNOWN_RED:
        raise SystemExit(f"KNOWN-RED.txt lists {len(lines)} tests; {MOST_KNOWN_RED} at most")
    return {line.split("|")[0].strip(): line for line in lines}


def run_behave(arguments: list[str]) -> tuple[dict[str, str], int]:
    """Run behave; return each scenario's status by name, and behave's exit code."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        formats = ["--format", "json", "--outfile", str(report), "--format", "progress"]
        command = [sys.executable, "-m", "behave", *formats, "--no-capture", *arguments]
        code = subprocess.run(command, cwd=ROOT, check=False).returncode
        features = json.loads(report.read_text(encoding="utf-8") or "[]")
    statuses = {}
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] == "scenario":
                place = f"{element['name']} ({element['location']})"
                statuses[place] = element.get("status", "untested")
    return statuses, code


def main() -> int:
    """Run and report."""
    statuses, code = run_behave(sys.argv[1:])
    listed = known_red()
    passed = [name for name, status in statuses.items() if status == GOOD]
    red = [name for name, status in statuses.items() if status not in (GOOD, *NOT_RUN)]
    known = [name for name in red if name.rsplit(" (", 1)[0] in listed]
    failed = [name for name in red if name not in known]
    for name in known:
        print(f"known red, passed over: {listed[name.rsplit(' (', 1)[0]]}")
    for name in failed:
        print(f"failed: {name}")
    if not statuses or (code != 0 and not red):
        print(f"behave ended with {code} and {len(statuses)} scenarios; its output says why")
        failed.append("behave")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
