"""Draws what a seed plays: some kinds of trouble, the profile, the attempts and the entries."""

from dataclasses import replace
from random import Random

from soak.kinds import KINDS, find_conflict
from soak.profiles import PROFILES
from soak.seed_play import Options

__all__ = ["ATTEMPTS", "ENTRY_COUNTS", "draw_options"]

# Half of the draws keep the usual numbers.
ATTEMPTS = (None, None, 1, 2)
ENTRY_COUNTS = (2, 3, 3, 5)


def draw_options(seed: int, kind_count: int, given: Options) -> Options:
    """Return what a seed plays: so many kinds, no two of which are made by the same class.

    Args:
      seed: what is drawn follows from it alone.
      kind_count: how many kinds.
      given: the options that aren't drawn.
    """
    random = Random(f"draw {kind_count} of {seed}")
    while True:
        names = tuple(sorted(random.sample(sorted(KINDS), kind_count)))
        options = replace(
            given,
            only=names,
            profile=random.choice(sorted(PROFILES)),
            attempts=random.choice(ATTEMPTS),
            entry_count=random.choice(ENTRY_COUNTS),
        )
        is_mixed = len({KINDS[name].make for name in names}) == kind_count
        if is_mixed and not find_conflict(names, options.entry_count):
            return options
