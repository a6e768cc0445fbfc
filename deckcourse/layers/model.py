"""The description of a model whose layers are distributed over upstreams."""

from dataclasses import dataclass, field

__all__ = ["HOP_MS", "AcceleratorKind", "ModelSpec"]

# Time that each further upstream of the same failure domain adds to a token, milliseconds;
# deployments state a delay of 0.2 ms.
HOP_MS = 0.2
# Memory is configured in decimal megabytes.
BYTES_PER_MB = 1_000_000.0


@dataclass(frozen=True)
class AcceleratorKind:
    """A kind of accelerator; the factors multiply the model's times, 1 being the fastest."""

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclass(frozen=True)
class ModelSpec:
    """A model as its operators describe it; times are for all its layers together.

    Attributes:
      name: the model name in requests.
      layers: the number of layers.
      layer_mb: the memory of one layer's weights, MB.
      load_seconds: the time to load all layers on one upstream.
      step_ms: the time of one token for one stream, milliseconds.
      stream_step_ms: what each further concurrent stream adds to a step, milliseconds.
      context_step_ms: what each stream adds to a step for 1,000 tokens of context, milliseconds.
      prefill_per_ms: the prompt tokens that are processed in a millisecond.
      prefill_chunk: the prompt tokens that are processed at most between two token steps.
      pairs_ms: what prefill adds for a million pairs of a token and an earlier one, milliseconds.
      event_tokens: the number of tokens in an event of an answer.
      activation_bytes: the size of one token's activations sent between two upstreams, bytes.
      cache_bytes: the KV cache of one token in all layers, bytes.
      pipe_mbps: the bandwidth between two failure domains, shared by their upstreams, Mbit/s.
      domain_delays: one-way delay between failure domains, seconds, in either order.
      requests: the concurrent requests that an upstream accepts as the first stage of a path.
      parallel_loads: the number of concurrent loads that don't slow each other down.
      kinds: the accelerators, by name.
      usual_prompt: the mean number of tokens in a prompt.
      usual_answer: the mean number of tokens in an answer.
    """

    name: str
    layers: int
    layer_mb: float
    load_seconds: float = 10.0
    step_ms: float = 1.0
    stream_step_ms: float = 0.0
    context_step_ms: float = 0.0
    prefill_per_ms: float = 100.0
    prefill_chunk: float = 512.0
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
        """The mean number of tokens that a usual request holds in the KV cache while it runs.

        That is its prompt and half of its answer.
        """
        return self.usual_prompt + self.usual_answer / 2

    def kind_of(self, name: str) -> AcceleratorKind:
        """Return a kind.

        Where kinds are described, one that isn't has no room, rather than an unknown amount. Where
        none is, each holds the whole model and has the model's own speed.
        """
        described = self.kinds.get(name)
        if described is not None:
            return described
        memory_mb = 0.0 if self.kinds else self.layer_mb * self.layers
        return AcceleratorKind(name, memory_mb, 1.0, 1.0)

    def max_layers(self, kind: str, fill: float = 1.0) -> int:
        """Return how many layers fit into a share `fill` of an accelerator's memory."""
        return int(self.kind_of(kind).memory_mb * fill / self.layer_mb)

    def cache_capacity_tokens(self, kind: str, held_layers: int, run_layers: int) -> float:
        """Return how many tokens' KV cache fits into an upstream's memory besides the weights.

        Args:
          kind: the accelerator.
          held_layers: the number of layers whose weights the upstream holds.
          run_layers: the number of layers that requests run there.
        """
        free_mb = self.kind_of(kind).memory_mb - held_layers * self.layer_mb
        bytes_per_token = self.cache_bytes / self.layers * run_layers
        return (
            max(0.0, free_mb * BYTES_PER_MB / bytes_per_token) if bytes_per_token else float("inf")
        )

    def request_capacity(self, kind: str, held_layers: int, run_layers: int) -> float:
        """Return how many usual requests' KV cache fits; see `cache_capacity_tokens`."""
        return self.cache_capacity_tokens(kind, held_layers, run_layers) / self.usual_tokens

    def token_ms(self, kind: str, streams: float = 1.0) -> float:
        """Return the time of one token in all layers on an accelerator, milliseconds.

        Args:
          kind: the accelerator.
          streams: the number of concurrent streams there, with usual prompts and answers.
        """
        per_stream_ms = self.stream_step_ms + self.context_step_ms * self.usual_tokens / 1000
        return self.kind_of(kind).step_factor * (self.step_ms + streams * per_stream_ms)

    def prompt_ms(self, kind: str) -> float:
        """Return the prefill time of a usual prompt in all layers on an accelerator, ms."""
        million_pairs = self.usual_prompt**2 / 2 / 1_000_000
        base_ms = self.usual_prompt / self.prefill_per_ms + million_pairs * self.pairs_ms
        return self.kind_of(kind).prefill_factor * base_ms

    def delay(self, domain: str, other: str) -> float:
        """Return the one-way delay between failure domains, seconds."""
        if domain == other:
            return 0.0
        delays = self.domain_delays
        return delays.get((domain, other), delays.get((other, domain), 0.0))
