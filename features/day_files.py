"""Validates the project's day files in deploy/days/.

The bench silently skips a day that it can't read. Therefore the words that days may use are listed
here, and a day that is valid for one deployment only is refused.
"""

import tomllib
from collections.abc import Iterator, Mapping

__all__ = ["KINDS", "day_problems"]

DAY_FIELDS = {"name": str, "slot": str, "seed": int, "plan": list, "faults": list}
# Placeholders for a deployment's first zone, its first two services and its first class; day files
# contain no real names.
PLACEHOLDERS = {
    "zone": ("@z0",),
    "to_zone": ("@z0",),
    "service": ("@s0", "@s1"),
    "class": ("@c0",),
}
NUMBERS = frozenset({"at", "for_s", "gap_s", "share", "count", "x"})
# Latest start, seconds after the start of traffic: a later entry may not end on a short day.
MAX_AT_SECONDS = 30.0
PLANNED = frozenset({"config_storm", "hup", "release", "revoke", "roll_term", "scale_in"})
PLANNED |= {"scale_out"}
ENGINE = frozenset({"across", "all", "dark", "domain", "gone", "joined"})
MACHINES = frozenset({"giver", "leader", "meet", "power"})
# The words that `how` may contain, by kind.
KINDS: Mapping[str, frozenset[str]] = {
    "answer_lost": frozenset({"reset"}),
    "applied_late": frozenset({"orders"}),
    "burst": frozenset(),
    "clock_step": frozenset({"leader"}),
    "config_storm": frozenset(),
    "garble": frozenset({"extra", "late", "unframed"}),
    "herd_kill": frozenset({"power"}),
    "hup": frozenset(),
    "kv_slow": frozenset({"zones"}),
    "lossy": frozenset(),
    "node_cut": frozenset({"leader", "reborn", "servers"}),
    "node_freeze": MACHINES,
    "node_kill": MACHINES,
    "node_slow": MACHINES,
    "platform_down": frozenset({"lapse", "leader", "nodes", "reset", "silent"}),
    "platform_lost": frozenset({"late"}),
    "release": frozenset(),
    "replace_with_reuse": frozenset({"dark", "drain"}),
    "poison": frozenset({"deadly"}),
    "reset_conns": frozenset(),
    "retry_abuse": frozenset(),
    "revoke": frozenset({"last"}),
    "roll_term": frozenset({"busy"}),
    "scale_in": frozenset({"reclaim", "spot"}),
    "scale_out": frozenset(),
    "srv_crash": ENGINE,
    "srv_cut": frozenset({"one_way", "reborn", "reset", "some"}),
    "srv_grey": ENGINE | {"errors", "hang", "mute", "reset", "shed", "slow"},
    "srv_slow": ENGINE,
}


def day_problems(name: str, text: str) -> list[str]:
    """Return the problems of a day file.

    Args:
      name: the file's name without its extension.
      text: the file's content.

    Returns:
      One line for each problem; an empty list for a day that is valid for any deployment.
    """
    try:
        day = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return [f"not TOML: {error}"]
    problems = list(_head_problems(name, text, day))
    for part in ("plan", "faults"):
        for entry in day.get(part, []):
            planned = part == "plan"
            problems += [f"{part}: {each}" for each in _entry_problems(entry, planned)]
    return problems


def _head_problems(name: str, text: str, day: Mapping[str, object]) -> Iterator[str]:
    first = text.partition("\n")[0]
    if text.count("#") != 1 or not first.startswith("# ") or ": " not in first:
        yield "its first line must be its only comment: what it does and which guarantee it tests"
    if day.get("name") != name:
        yield f"name {day.get('name')!r} is not the file's"
    for field in day.keys() ^ DAY_FIELDS.keys():
        yield f"field {field} is missing or unknown"
    for field, sort in DAY_FIELDS.items():
        if field in day and not isinstance(day[field], sort):
            yield f"field {field} is no {sort.__name__}"
    if not day.get("plan") and not day.get("faults"):
        yield "nothing happens"


def _entry_problems(entry: Mapping[str, object], planned: bool) -> Iterator[str]:
    kind = entry.get("kind")
    if kind not in KINDS:
        yield f"kind {kind!r} is unknown"
        return
    if planned != (kind in PLANNED):
        yield f"{kind} stands in the wrong part"
    for word in str(entry.get("how", "")).split():
        if word not in KINDS[kind]:
            yield f"{kind}: how {word!r} is unknown"
    if "at" not in entry:
        yield f"{kind}: at is missing"
    for field, value in entry.items():
        yield from (f"{kind}: {each}" for each in _field_problems(field, value))


def _field_problems(field: str, value: object) -> Iterator[str]:
    if field in PLACEHOLDERS:
        if value not in PLACEHOLDERS[field]:
            yield f"{field} {value!r} is a deployment's own name"
    elif field in NUMBERS:
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            yield f"{field} {value!r} is no number above 0"
        elif field == "share" and value > 1:
            yield f"share {value} is more than all"
        elif field == "at" and value > MAX_AT_SECONDS:
            yield f"at {value} is later than {MAX_AT_SECONDS}"
    elif field not in ("kind", "how"):
        yield f"field {field} is unknown"
