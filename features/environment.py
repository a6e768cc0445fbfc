"""behave's hooks: the path to the helpers, and the mutant to switch on, if any."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))


def before_all(context):
    mutant = os.environ.get("DECKCOURSE_MUTANT", "")
    if mutant:
        from mutants import switch_on

        switch_on(mutant)


def before_scenario(context, scenario):
    from world import World

    context.world = World()
