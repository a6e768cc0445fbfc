"""The registry of mutants: each switches off one mechanism."""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class Mutant:
    """What is switched off, how, and the features that should notice."""

    mechanism: str
    switch_on: Callable[[], None]
    features: tuple[str, ...]


MUTANTS: dict[str, Mutant] = {}
STREAM = ("whole_answer", "fault_matrix_stream_end", "fault_matrix_stream_start")
CALL = ("at_most_once", "fault_matrix_call", "fault_matrix_pairs")
CONTROL = ("orders", "config", "fault_matrix_control", "fault_matrix_pairs")


def mutant(mechanism: str, *features: str):
    """Register a function that switches a mechanism off."""

    def register(function: Callable[[], None]) -> Callable[[], None]:
        name = function.__name__.replace("_", "-")
        MUTANTS[name] = Mutant(mechanism, function, features)
        return function

    return register


def switch_on(name: str) -> None:
    """Switch one mutant on in this process."""
    MUTANTS[name].switch_on()
