"""How the scenarios name an outcome."""

from deckcourse.outcomes import NotRun, Unknown


def told(outcome) -> str:
    """Name an outcome as the scenarios do."""
    if isinstance(outcome, NotRun):
        return f"not run {outcome.reason}"
    if isinstance(outcome, Unknown):
        return f"unknown {outcome.reason}"
    return "answered"


def was_told(outcome, wanted: str) -> bool:
    kind, _, reasons = wanted.rpartition(" run ") if " run " in wanted else ("", "", wanted)
    if kind:
        return told(outcome) in [f"not run {each}" for each in reasons.split(" or ")]
    return told(outcome) == wanted or told(outcome).split()[0] == wanted
