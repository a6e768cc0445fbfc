"""Steps that run what the pages and the command line promise."""

import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import then

from deckcourse.reasons import NotRunReason, RetryReason, UnknownReason

ROOT = Path(__file__).resolve().parent.parent.parent
BIN = Path(sys.executable).parent
ENVIRONMENT = {**os.environ, "PATH": f"{BIN}:{os.environ['PATH']}"}


def run(command: list[str], cwd: Path, seconds: float) -> subprocess.CompletedProcess:
    """Run a command to its end; what it started ends with it, also where it takes too long.

    Processes left behind would hold the ports that the next run of the same pages needs.
    """
    with subprocess.Popen(
        command,
        cwd=cwd,
        env=ENVIRONMENT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    ) as started:
        try:
            output, _ = started.communicate(timeout=seconds)
        except subprocess.TimeoutExpired as late:
            os.killpg(started.pid, signal.SIGKILL)
            output, _ = started.communicate()
            raise AssertionError(f"{command} took over {seconds} s: {output[-3000:]}") from late
    return subprocess.CompletedProcess(command, started.returncode, output)


@then("the blocks of docs/TUTORIAL.md run in an empty folder without an error")
def tutorial(context):
    text = (ROOT / "docs" / "TUTORIAL.md").read_text(encoding="utf-8")
    blocks = re.findall(r"```sh\n(.*?)```", text, re.DOTALL)
    assert len(blocks) > 4
    with tempfile.TemporaryDirectory() as folder:
        script = Path(folder) / "tutorial.sh"
        ending = "trap 'kill $(jobs -p) 2> /dev/null || true' EXIT\n"
        script.write_text("set -eu\n" + ending + "\n".join(blocks), encoding="utf-8")
        done = run(["bash", str(script)], Path(folder), 90)
    assert done.returncode == 0, done.stdout[-3000:]
    assert "is accepted as version" in done.stdout, done.stdout
    assert "data: [DONE]" in done.stdout, done.stdout[-3000:]


@then("deckcourse try ends well within {seconds:d} seconds and tells of a whole answer")
def trial(context, seconds):
    began = time.monotonic()
    done = run([str(BIN / "deckcourse"), "try"], ROOT, seconds)
    assert done.returncode == 0, done.stdout
    assert time.monotonic() - began < seconds
    for words in ("killed runner-", "40 of 40 tokens came, in order", "pause of the stream"):
        assert words in done.stdout, done.stdout


@then("deckcourse {command} exits with {code:d} and says {words}")
def command_line(context, command, code, words):
    done = run([str(BIN / "deckcourse"), *command.split()], ROOT, 30)
    assert done.returncode == code, (done.returncode, done.stdout)
    assert words in done.stdout, done.stdout


@then("docs/OPERATIONS.md names every reason")
def every_reason(context):
    text = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    reasons = [*NotRunReason, *UnknownReason, *RetryReason]
    missing = [reason for reason in reasons if f".{reason}`" not in text]
    assert not missing, missing
