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
PAIRS = "pairs"
PAIRS_SHARE = 0.1
PAIRS_ENTRY_COUNT = max(ENTRY_COUNTS)


def draw_options(seed: int, kind_count: int, given: Options) -> Options:
    """Return what a seed plays: so many kinds, no two of which are made by the same class.

    Args:
      seed: what is drawn follows from it alone.
      kind_count: how many kinds.
      given: the options that aren't drawn.
    """
    random = Random(f"draw {kind_count} of {seed}")
    options = _draw_usual(random, kind_count, given)
    # Drawn apart: what the other seeds play stays as it was.
    pairs = Random(f"pairs of {seed}")
    if pairs.random() >= PAIRS_SHARE:
        return options
    kept = pairs.sample(options.only, kind_count - 1)
    names = tuple(sorted((PAIRS, *kept)))
    return replace(options, only=names, entry_count=PAIRS_ENTRY_COUNT)


def _draw_usual(random: Random, kind_count: int, given: Options) -> Options:
    """Draw from all kinds but pairs of entries in trouble, which need a larger site."""
    while True:
        names = tuple(sorted(random.sample(sorted(KINDS.keys() - {PAIRS}), kind_count)))
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
