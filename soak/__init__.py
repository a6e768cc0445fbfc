"""A randomized soak: the gateway's real processes, with faults injected from outside them."""
