"""The gateway: callers' requests forwarded byte for byte to upstreams, by a desired state."""
