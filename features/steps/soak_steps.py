"""Steps about the soak of real processes."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parent.parent.parent
# Start, faults, calm and stop take some 25 s; a busy machine several times that.
LONGEST_SECONDS = 180


@when("the soak plays seed {seed:d} with faults for {seconds:d} seconds")
def plays(context, seed, seconds):
    command = [sys.executable, "-m", "soak", "--seconds", str(seconds), str(seed)]
    context.soak = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=LONGEST_SECONDS, check=False
    )


@then("it tells of no broken promise")
def kept(context):
    assert context.soak.returncode == 0, context.soak.stdout + context.soak.stderr
    assert " 0 broken promises" in context.soak.stdout
