"""Steps about the deploy folder."""

import os
import re
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from behave import then
from day_files import day_problems
from returns.result import Failure, Success

from deckcourse.platform.environment import read_deployed_settings
from deckcourse.platform.names import (
    APPLY_VARIABLE,
    CONTACT_VARIABLE,
    DRAIN_VARIABLE,
    LOST_MACHINES_VARIABLE,
    READ_SLACK_VARIABLE,
)
from deckcourse.settings import read_settings

ROOT = Path(__file__).resolve().parent.parent.parent
VALUES = {
    "nodeName": "front-1",
    "zone": "hall-a",
    "ip": "127.0.0.1",
    "platform.address": "127.0.0.1:7700",
    "listen.front": "127.0.0.1:8080",
    "listen.ready": "127.0.0.1:8081",
    "listen.control": "127.0.0.1:8082",
    "limits.linkMbps": "20.0",
    "seeds": "127.0.0.1:8082,127.0.0.2:8082",
    "bounds.graceS": "8",
    "bounds.revokeMs": "5000",
    "bounds.retryBudgetRatio": "0.25",
    "bounds.budgetSlack": "196",
    "bounds.budgetWindowS": "12",
}
# Names of the platform's protocol that neither HTTP nor the product uses.
NAMES = re.compile(
    r"x-response-seal|x-not-executed|x-tenant|rows-(?:tx|get|feed)|rangeStart|targetVersion|tlsKey"
    r"|afterRev|expectedRev|DECKCOURSE_BOOT|/v1/(?:order|report|ready)\b",
    re.IGNORECASE,
)


def filled(**changes):
    """Return the settings template with its placeholders filled in, as the platform does it."""
    values = {**VALUES, **changes}
    text = (ROOT / "deploy" / "settings.ini").read_text(encoding="utf-8")
    return re.sub(r"\{\{([^}]+)\}\}", lambda placeholder: values[placeholder[1]], text)


def read(text):
    with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
        file.write(text)
        file.flush()
        return read_settings(file.name)


@then("the filled template is valid and contains the given values")
def template_right(context):
    match read(filled()):
        case Success(settings):
            assert settings.node.name == "front-1" and settings.node.domain == "hall-a"
            assert settings.gateway.stop_grace == 8.0 and settings.gateway.revocation == 5.0
            retries = settings.gateway.retry_ratio, settings.gateway.retry_slack
            assert (*retries, settings.gateway.retry_window) == (0.25, 196.0, 12.0)
            assert settings.gateway.metrics_listen == "127.0.0.1:9464"
        case Failure(problems):
            raise AssertionError([str(each) for each in problems])


@then("the template with {value} for {field} is refused naming {named}")
@then("the template with  for {field} is refused naming {named}")
def template_refused(context, field, named, value=""):
    match read(filled(**{field: value})):
        case Failure(problems):
            assert any(named in str(each) for each in problems), [str(each) for each in problems]
        case other:
            raise AssertionError(other)


@then("with {value} as the contact time in the environment, the settings {result}")
@then("with  as the contact time in the environment, the settings {result}")
def contact_from_environment(context, result, value=""):
    with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
        file.write(filled())
        file.flush()
        read_result = read_deployed_settings(file.name, {CONTACT_VARIABLE: value})
    match read_result:
        case Success(settings):
            assert result == f"have a contact time of {settings.gateway.contact}", settings
        case Failure((problem,)):
            assert result == "are refused naming the variable", problem
            assert str(problem).startswith(CONTACT_VARIABLE) and value in str(problem), problem


@then("with {value} as the time to count as read in the environment, the settings {result}")
@then("with  as the time to count as read in the environment, the settings {result}")
def read_slack_from_environment(context, result, value=""):
    with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
        file.write(filled())
        file.flush()
        read_result = read_deployed_settings(file.name, {READ_SLACK_VARIABLE: value})
    match read_result:
        case Success(settings):
            assert result == f"have a read slack of {settings.gateway.read_slack}", settings
        case Failure((problem,)):
            assert result == "are refused naming the variable", problem
            assert str(problem).startswith(READ_SLACK_VARIABLE) and value in str(problem), problem


@then("with {value} as the {time} time in the environment, the settings have {seconds:g} seconds")
def change_time_from_environment(context, value, time, seconds):
    variable = {"apply": APPLY_VARIABLE, "drain": DRAIN_VARIABLE}[time]
    with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
        file.write(filled())
        file.flush()
        settings = read_deployed_settings(file.name, {variable: value.strip("-")}).unwrap()
    assert getattr(settings.gateway, time) == seconds, settings


@then("with {value} as the number of lost machines in the environment, the settings {result}")
def lost_machines_from_environment(context, value, result):
    with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
        file.write(filled())
        file.flush()
        read_result = read_deployed_settings(
            file.name, {LOST_MACHINES_VARIABLE: value.replace("nothing", "")}
        )
    match read_result:
        case Success(settings):
            assert result == f"have {settings.gateway.lost_machines}", settings
        case Failure((problem,)):
            assert result == "are refused naming the variable", problem
            assert str(problem).startswith(LOST_MACHINES_VARIABLE) and value in str(problem)


@then("the deploy file fills the variables of the times from the platform's bounds")
def deploy_file_fills_times(context):
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    assert deploy["roles"]["gateway"]["env"] == {
        CONTACT_VARIABLE: "{{bounds.contactMs}}",
        APPLY_VARIABLE: "{{bounds.configApplyMs}}",
        DRAIN_VARIABLE: "{{bounds.drainMs}}",
        LOST_MACHINES_VARIABLE: "{{faultTolerance.machines}}",
        READ_SLACK_VARIABLE: "{{bounds.lossSlackMs}}",
    }


@then("without settings, with a missing file and with an invalid one the program exits with 78")
def program_refuses(context):
    with tempfile.NamedTemporaryFile("w", suffix=".ini") as wrong:
        wrong.write("[node]\nname = a\n")
        wrong.flush()
        for path in ("", "/nowhere/at/all.ini", wrong.name):
            done = subprocess.run(
                [sys.executable, "-m", "deckcourse.platform"],
                cwd=ROOT,
                env={**os.environ, "DECKCOURSE_BOOT": path},
                capture_output=True,
                text=True,
                timeout=60,
                check=False,
            )
            assert done.returncode == 78 and done.stderr.strip(), done
        assert "domain: missing" in done.stderr, done.stderr


# Runs the program; the first import after the signal handlers are set sends the signal.
SIGNALLED = """
import os, runpy, signal, sys

class Signaller:
    def find_spec(self, name, path=None, target=None):
        if name == "deckcourse.platform.program":
            os.kill(os.getpid(), signal.{name})
        return None

sys.meta_path.insert(0, Signaller())
runpy.run_module("deckcourse.platform", run_name="__main__")
"""


@then("a program that receives {name} during its imports exits with {code:d}")
def signalled_while_loading(context, name, code):
    done = subprocess.run(
        [sys.executable, "-c", SIGNALLED.format(name=name)],
        cwd=ROOT,
        env={**os.environ, "DECKCOURSE_BOOT": ""},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == code, done


# Replaces msgspec: sends SIGTERM during its import and catches everything that the handler raises.
CATCH_ALL_MODULE = """
import os
import signal

try:
    os.kill(os.getpid(), signal.SIGTERM)
    for _ in range(1000):
        pass
except BaseException:
    pass
raise ImportError("still running after SIGTERM")
"""


@then("a program that receives SIGTERM while an import catches every exception exits with {code:d}")
def signalled_inside_catch_all(context, code):
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "msgspec.py").write_text(CATCH_ALL_MODULE, encoding="utf-8")
        done = subprocess.run(
            [sys.executable, "-m", "deckcourse.platform"],
            cwd=ROOT,
            env={**os.environ, "DECKCOURSE_BOOT": "", "PYTHONPATH": folder},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
    assert done.returncode == code, done


@then("no module outside the platform package contains a name of the platform's protocol")
def names_stay(context):
    leaks = []
    for module in (ROOT / "deckcourse").rglob("*.py"):
        if module.parent.name != "platform":
            leak = NAMES.search(module.read_text(encoding="utf-8"))
            if leak:
                leaks.append(f"{module.relative_to(ROOT)}: {leak[0]}")
    assert not leaks, leaks


@then("each requirement of the deploy file is declared by the project with the same bounds")
def requirements_declared(context):
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
    lines = (ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8").split()
    assert lines and set(lines) <= set(project["dependencies"]), lines


@then("the folder of days contains day files, and all of them are valid")
def days_right(context):
    files = sorted((ROOT / "deploy" / "days").iterdir())
    assert files and all(file.suffix == ".toml" for file in files), files
    problems = {
        file.name: file_problems
        for file in files
        if (file_problems := day_problems(file.stem, file.read_text(encoding="utf-8")))
    }
    assert not problems, problems


# A valid day file. Each scenario invalidates one thing in it.
DAY = """\
# Some are lost: served by the others.
name = "day"
slot = "a"
seed = 7
plan = [
  { kind = "hup", share = 0.5, at = 3.0 },
]
faults = [
  { kind = "srv_crash", service = "@s0", zone = "@z0", how = "dark gone", for_s = 2.0, at = 6.0 },
  { kind = "burst", class = "@c0", x = 2.0, at = 4.0 },
]
"""


@then("a day file in which {old} is replaced by {new} has the problem: {problem}")
def day_refused(context, old, new, problem):
    assert not day_problems("day", DAY), day_problems("day", DAY)
    if old == "all its lines":
        invalid = "".join(line for line in DAY.splitlines(True) if not line.startswith("  {"))
    else:
        assert old in DAY, old
        invalid = DAY.replace(old, new)
    found_problems = day_problems("day", invalid)
    assert any(problem in each for each in found_problems), found_problems
