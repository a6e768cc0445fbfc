"""HTTP/1.1 over trio and h11: connections accepted by the gateway and connections to upstreams."""
