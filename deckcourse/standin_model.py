"""The stand-ins' model: arithmetic in which a layer left out, doubled or misplaced shows.

Each layer mixes its input with all inputs that it saw before (its KV cache), so that a token
depends on every layer having run once for every position, in order.
"""

from collections.abc import Sequence
from struct import Struct
from zlib import crc32

__all__ = ["expected_tokens", "prompt_inputs", "run_layer", "token_text"]

WORDS = (
    "valve pump heat pressure return supply flow meter boiler loop sensor site ticket tenant "
    "fitter reading normal high low open closed check reset report call window"
).split()
_LAYER_INPUT = Struct("<III")


def prompt_inputs(prompt: str) -> tuple[int, ...]:
    """Return the model's inputs for a prompt: one number for each word, at least one."""
    words = prompt.split() or [""]
    return tuple(crc32(word.encode()) for word in words)


def run_layer(layer: int, value: int, cache: int) -> tuple[int, int]:
    """Run one layer on one position.

    Returns:
      The layer's output, and its cache after the position.
    """
    cache = crc32(_LAYER_INPUT.pack(layer, value, cache))
    return crc32(_LAYER_INPUT.pack(layer, value, cache)), cache


def token_text(token: int) -> str:
    """Return the text of a token."""
    return WORDS[token % len(WORDS)] + " "


def expected_tokens(depth: int, prompt: str, count: int) -> tuple[int, ...]:
    """Return the answer that a model of `depth` layers gives when nothing fails."""
    caches = [0] * depth
    inputs: Sequence[int] = prompt_inputs(prompt)
    tokens: list[int] = []
    while len(tokens) < count:
        for value in inputs:
            for layer in range(depth):
                value, caches[layer] = run_layer(layer, value, caches[layer])
        tokens.append(value)
        inputs = (value,)
    return tuple(tokens)
