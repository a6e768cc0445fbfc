"""The figures of a model whose layers are spread over upstreams."""

from dataclasses import dataclass, field

__all__ = ["HOP_MS", "AcceleratorKind", "ModelSpec"]

# One more upstream in the same failure domain costs this much a token, milliseconds: 0.2 ms of
# delay is what the deployments state.
HOP_MS = 0.2
# Memory is stated in decimal megabytes.
BYTES_PER_MB = 1_000_000.0


@dataclass(frozen=True)
class AcceleratorKind:
    """A kind of accelerator; both factors are against the model's own figures, 1 the fastest."""

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclass(frozen=True)
class ModelSpec:
    """A model, by what its operators say of it; the times are for all its layers together.

    Attributes:
      name: what requests call it.
      layers: how many there are.
      layer_mb: the memory that one layer's weights take.
      load_seconds: the time to load all layers, on one upstream.
      step_ms: one token for one stream, milliseconds.
      stream_step_ms: what each further stream adds to a step, milliseconds.
      context_step_ms: what each stream adds for 1,000 tokens that it holds, milliseconds.
      prefill_per_ms: tokens of a prompt that are read in a millisecond.
      pairs_ms: what reading adds for a million pairs of a token and one before it, milliseconds.
      event_tokens: how many tokens an event of an answer holds.
      activation_bytes: what one token's activations take between two upstreams.
      cache_bytes: the KV cache of one token in all layers, bytes.
      pipe_mbps: what all upstreams of one failure domain share towards another, Mbit/s.
      domain_delays: one-way delay between failure domains, seconds, either order.
      requests: how many requests an upstream works on at once as the first of a path.
      parallel_loads: how many loads at once keep their speed.
      kinds: the accelerators, by name.
      usual_prompt: the tokens of a request's prompt, in the mean.
      usual_answer: the tokens of its answer, in the mean.
    """

    name: str
    layers: int
    layer_mb: float
    load_seconds: float = 10.0
    step_ms: float = 1.0
    stream_step_ms: float = 0.0
    context_step_ms: float = 0.0
    prefill_per_ms: float = 100.0
    pairs_ms: float = 0.0
    event_tokens: float = 1.0
    activation_bytes: float = 16_384.0
    cache_bytes: float = 0.0
    pipe_mbps: float = 10_000.0
    domain_delays: dict[tuple[str, str], float] = field(default_factory=dict)
    requests: int = 64
    parallel_loads: int = 4
    kinds: dict[str, AcceleratorKind] = field(default_factory=dict)
    usual_prompt: float = 770.0
    usual_answer: float = 154.0

    @property
    def usual_tokens(self) -> float:
        """What a usual request holds in the KV cache in the mean over its time, tokens.

        That is its prompt and half of its answer.
        """
        return self.usual_prompt + self.usual_answer / 2

    def kind_of(self, name: str) -> AcceleratorKind:
        """Return a kind; one that nobody described counts as fast and large as the model's own."""
        known = self.kinds.get(name)
        if known is not None:
            return known
        return AcceleratorKind(name, self.layer_mb * self.layers, 1.0, 1.0)

    def most_layers(self, kind: str, fill: float = 1.0) -> int:
        """Return how many layers fit into a part of an accelerator's memory."""
        return int(self.kind_of(kind).memory_mb * fill / self.layer_mb)

    def tokens_beside(self, kind: str, held: int, run: int) -> float:
        """Return how many tokens' KV cache fit beside an upstream's weights.

        Args:
          kind: the accelerator.
          held: the layers whose weights it holds.
          run: the layers that the requests pass there.
        """
        room = self.kind_of(kind).memory_mb - held * self.layer_mb
        per_token = self.cache_bytes / self.layers * run
        return max(0.0, room * BYTES_PER_MB / per_token) if per_token else float("inf")

    def places(self, kind: str, held: int, run: int) -> float:
        """Return how many usual requests fit beside an upstream's weights, as `tokens_beside`."""
        return self.tokens_beside(kind, held, run) / self.usual_tokens

    def token_ms(self, kind: str, streams: float = 1.0) -> float:
        """Return the time of one token in all layers of an accelerator, milliseconds.

        Args:
          kind: the accelerator.
          streams: how many streams are written at once there, with usual prompts and answers.
        """
        each_adds = self.stream_step_ms + self.context_step_ms * self.usual_tokens / 1000
        return self.kind_of(kind).step_factor * (self.step_ms + streams * each_adds)

    def reading_ms(self, kind: str) -> float:
        """Return the time that a usual prompt takes in all layers of an accelerator, ms."""
        pairs = self.usual_prompt**2 / 2 / 1_000_000
        alone = self.usual_prompt / self.prefill_per_ms + pairs * self.pairs_ms
        return self.kind_of(kind).prefill_factor * alone

    def delay(self, domain: str, other: str) -> float:
        """Return the one-way delay between failure domains, seconds."""
        if domain == other:
            return 0.0
        pairs = self.domain_delays
        return pairs.get((domain, other), pairs.get((other, domain), 0.0))
