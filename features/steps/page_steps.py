"""Steps that check the documentation and the command line by running them."""

import fcntl
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from behave import then

from deckcourse.reasons import NotRunReason, RetryReason, UnknownReason

ROOT = Path(__file__).resolve().parent.parent.parent
BIN = Path(sys.executable).parent
ENVIRONMENT = {**os.environ, "PATH": f"{BIN}:{os.environ['PATH']}"}


@contextmanager
def tutorial_ports() -> Iterator[None]:
    """Wait until no other run of the tests on this host uses the tutorial's fixed ports."""
    with (Path(tempfile.gettempdir()) / "deckcourse-tutorial.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def run_command(command: list[str], cwd: Path, seconds: float) -> subprocess.CompletedProcess:
    """Run a command; after `seconds`, kill its whole process group and fail.

    Processes left running would hold the ports that the next run of the tutorial needs.
    """
    with subprocess.Popen(
        command,
        cwd=cwd,
        env=ENVIRONMENT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    ) as process:
        try:
            output, _ = process.communicate(timeout=seconds)
        except subprocess.TimeoutExpired as error:
            os.killpg(process.pid, signal.SIGKILL)
            output, _ = process.communicate()
            raise AssertionError(f"{command} took over {seconds} s: {output[-3000:]}") from error
    return subprocess.CompletedProcess(command, process.returncode, output)


@then("the blocks of docs/TUTORIAL.md run in an empty folder without an error")
def tutorial_runs(context):
    text = (ROOT / "docs" / "TUTORIAL.md").read_text(encoding="utf-8")
    blocks = re.findall(r"```sh\n(.*?)```", text, re.DOTALL)
    assert len(blocks) > 4
    with tutorial_ports(), tempfile.TemporaryDirectory() as folder:
        script = Path(folder) / "tutorial.sh"
        cleanup = "trap 'kill $(jobs -p) 2> /dev/null || true' EXIT\n"
        script.write_text("set -eu\n" + cleanup + "\n".join(blocks), encoding="utf-8")
        completed = run_command(["bash", str(script)], Path(folder), 90)
    assert completed.returncode == 0, completed.stdout[-3000:]
    assert "is accepted as version" in completed.stdout, completed.stdout
    assert "data: [DONE]" in completed.stdout, completed.stdout[-3000:]


@then("deckcourse try succeeds within {seconds:d} seconds and reports a complete answer")
def trial_succeeds(context, seconds):
    started_at = time.monotonic()
    completed = run_command([str(BIN / "deckcourse"), "try"], ROOT, seconds)
    assert completed.returncode == 0, completed.stdout
    assert time.monotonic() - started_at < seconds
    for words in ("killed runner-", "40 of 40 tokens came, in order", "pause of the stream"):
        assert words in completed.stdout, completed.stdout


@then("deckcourse {command} exits with {code:d} and says {words}")
def command_line(context, command, code, words):
    completed = run_command([str(BIN / "deckcourse"), *command.split()], ROOT, 30)
    assert completed.returncode == code, (completed.returncode, completed.stdout)
    assert words in completed.stdout, completed.stdout


@then("docs/OPERATIONS.md names every reason")
def reasons_documented(context):
    text = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    reasons = [*NotRunReason, *UnknownReason, *RetryReason]
    missing = [reason for reason in reasons if f".{reason}`" not in text]
    assert not missing, missing
