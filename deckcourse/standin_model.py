"""The simulated engines' model: checksums that reveal a skipped, repeated or misplaced layer.

Each layer mixes its input with all its earlier inputs (its KV cache), so that a token is right
only if every layer ran once for every position, in order.
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
    """Return the model's inputs for a prompt: a checksum of each word, at least one."""
    words = prompt.split() or [""]
    return tuple(crc32(word.encode()) for word in words)


def run_layer(layer: int, value: int, cache: int) -> tuple[int, int]:
    """Run one layer on one position.

    Returns:
      The layer's output and its updated cache.
    """
    cache = crc32(_LAYER_INPUT.pack(layer, value, cache))
    return crc32(_LAYER_INPUT.pack(layer, value, cache)), cache


def token_text(token: int) -> str:
    """Return the text of a token."""
    return WORDS[token % len(WORDS)] + " "


def expected_tokens(depth: int, prompt: str, count: int) -> tuple[int, ...]:
    """Return the tokens that a model of `depth` layers generates when nothing fails."""
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
