"""Write features/fault_matrix*.feature: every fault at every step, single, repeated and in pairs.

The cells that can't occur are listed with their reason at the top of the first file.
"""

from pathlib import Path

FEATURES = Path(__file__).resolve().parent.parent / "features"

STREAM_STEPS = ("admit", "route", "first token", "mid-stream", "finish")
CALL_STEPS = ("claim", "call", "record result")
CONTROL_STEPS = ("lease renew", "plan", "confirm", "order", "order reply")
CONFIG_STEPS = ("config accept", "config spread")
ALL_STEPS = (*STREAM_STEPS, *CALL_STEPS, *CONTROL_STEPS, *CONFIG_STEPS)
STEP_GROUPS = {
    "stream_start": ("admit", "route", "first token"),
    "stream_end": ("mid-stream", "finish"),
    "call": CALL_STEPS,
    "control": CONTROL_STEPS,
    "configuration": CONFIG_STEPS,
}

# The processes that a fault of a machine or a link can affect at each step.
VICTIMS = {
    "admit": ("middle", "entry"),
    "route": ("head", "middle", "entry"),
    "first token": ("head", "middle", "last", "entry"),
    "mid-stream": ("head", "middle", "last", "entry"),
    "finish": ("head", "middle", "entry"),
    "claim": ("entry", "service"),
    "call": ("entry", "service"),
    "record result": ("entry", "service"),
    "lease renew": ("controller",),
    "plan": ("controller",),
    "confirm": ("controller",),
    "order": ("controller", "runner"),
    "order reply": ("controller", "runner"),
    "config accept": ("controller", "entry"),
    "config spread": ("controller", "entry"),
}
MACHINE_FAULTS = ("kill", "cut", "freeze", "slow-link")
PLATFORM_FAULTS = ("platform-outage", "slow-platform")
REPEATED_FAULTS = {
    "kill": ("first token", "mid-stream", "claim", "call", "record result", "confirm"),
    "freeze": ("first token", "mid-stream", "call", "order", "config spread"),
    "cut": ("first token", "mid-stream", "call", "order"),
    "lost-reply": (
        "claim",
        "record result",
        "confirm",
        "order reply",
        "lease renew",
        "plan",
        "first token",
        "mid-stream",
        "call",
        "config accept",
    ),
}
FAULT_PAIRS = (
    ("kill", "middle", "mid-stream", "kill", "head", "mid-stream"),
    ("kill", "middle", "mid-stream", "kill", "entry", "mid-stream"),
    ("kill", "middle", "first token", "platform-outage", "entry", "claim"),
    ("freeze", "middle", "mid-stream", "kill", "last", "mid-stream"),
    ("cut", "head", "mid-stream", "kill", "middle", "finish"),
    ("platform-outage", "entry", "claim", "kill", "entry", "mid-stream"),
    ("lost-reply", "entry", "claim", "platform-outage", "entry", "claim"),
    ("lost-reply", "entry", "claim", "kill", "entry", "call"),
    ("lost-reply", "entry", "call", "lost-reply", "entry", "record result"),
    ("lost-reply", "entry", "record result", "kill", "entry", "record result"),
    ("freeze", "entry", "claim", "platform-outage", "entry", "claim"),
    ("freeze", "entry", "call", "kill", "middle", "mid-stream"),
    ("lost-reply", "controller", "confirm", "platform-outage", "entry", "confirm"),
    ("lost-reply", "controller", "confirm", "kill", "controller", "config accept"),
    ("lost-reply", "controller", "confirm", "operator-race", "controller", "confirm"),
    ("lapsed-lease", "controller", "order", "kill", "runner", "order"),
    ("lapsed-lease", "controller", "order", "lost-reply", "controller", "order reply"),
    ("lapsed-lease", "controller", "lease renew", "operator-race", "controller", "plan"),
    ("platform-outage", "controller", "config accept", "kill", "controller", "config spread"),
    ("platform-outage", "controller", "config accept", "kill", "entry", "config spread"),
    ("operator-race", "controller", "confirm", "slow-platform", "controller", "confirm"),
    ("kill", "controller", "confirm", "operator-race", "controller", "confirm"),
    ("slow-link", "middle", "mid-stream", "kill", "last", "mid-stream"),
    ("slow-platform", "entry", "claim", "lost-reply", "entry", "claim"),
)
IMPOSSIBLE_CELLS = (
    "lost-reply at admit: the caller's request has no reply before its first token",
    "lost-reply at route: choosing a route crosses no interface; the stream's start has its own",
    "lost-reply at order: nothing has been done yet that a reply could tell; see order reply",
    "lapsed-lease at admit to record result: no lease is needed on a request's path",
)

FEATURE_TEMPLATE = """@fault-matrix
Feature: {title}

  Scenario Outline: {name}
{steps}
    When callers and operators go about their work
    Then the fault came
    And everything still holds
    And afterwards a request is answered as if nothing had been

    Examples:
{rows}
"""


def single_cells() -> list[tuple[str, str, str]]:
    """Return every combination of a fault, a victim and a step that can occur."""
    cells = [
        (fault, victim, step)
        for step in ALL_STEPS
        for fault in MACHINE_FAULTS
        for victim in VICTIMS[step]
    ]
    cells += [(fault, "platform", step) for step in ALL_STEPS for fault in PLATFORM_FAULTS]
    steps_without_reply = ("admit", "route", "order")
    cells += [
        ("lost-reply", "reply", step) for step in ALL_STEPS if step not in steps_without_reply
    ]
    control_steps = (*CONTROL_STEPS, *CONFIG_STEPS)
    cells += [("lapsed-lease", "controller", step) for step in control_steps]
    cells += [("operator-race", "operators", step) for step in ALL_STEPS]
    return cells


def repeated_cells() -> list[tuple[str, str, str]]:
    """Return the combinations whose fault is injected twice at the same step."""
    return [
        (
            fault,
            "reply" if fault == "lost-reply" else VICTIMS[step][-1 if fault == "call" else 0],
            step,
        )
        for fault, steps in REPEATED_FAULTS.items()
        for step in steps
    ]


def examples_table(header: tuple[str, ...], cells) -> str:
    """Return a Gherkin Examples table."""
    rows = [header, *cells]
    return "\n".join("      | " + " | ".join(row) + " |" for row in rows)


def write_feature(
    file_name: str, title: str, outline: str, steps: str, rows: str, comment: str = ""
) -> None:
    text = FEATURE_TEMPLATE.format(title=title, name=outline, steps=steps, rows=rows)
    (FEATURES / file_name).write_text(comment + text, encoding="utf-8")


def main() -> None:
    """Write the feature files and print the numbers of their scenarios."""
    comment = "# Written by tools/write_matrix.py. Cells that can't occur:\n"
    comment += "".join(f"#   {reason}\n" for reason in IMPOSSIBLE_CELLS)
    header = ("fault", "victim", "step")
    for group, steps in STEP_GROUPS.items():
        cells = [cell for cell in single_cells() if cell[2] in steps]
        write_feature(
            f"fault_matrix_{group}.feature",
            f"Every fault at every step: {group}",
            "<fault> hits the <victim> at <step>",
            "    Given <fault> hits the <victim> at <step>",
            examples_table(header, cells),
            comment,
        )
    write_feature(
        "fault_matrix_twice.feature",
        "The same fault twice",
        "<fault> hits the <victim> at <step>, twice",
        "    Given <fault> strikes the <victim> 2 times at <step>",
        examples_table(header, repeated_cells()),
    )
    pair_header = ("fault", "victim", "step", "other", "whom", "where")
    write_feature(
        "fault_matrix_pairs.feature",
        "Two faults that meet",
        "<fault> at <step> and <other> at <where>",
        "    Given <fault> hits the <victim> at <step>\n"
        "    And <other> hits the <whom> at <where>",
        examples_table(pair_header, FAULT_PAIRS),
    )
    print(len(single_cells()), len(repeated_cells()), len(FAULT_PAIRS))


if __name__ == "__main__":
    main()
