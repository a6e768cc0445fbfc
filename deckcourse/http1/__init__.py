"""HTTP/1.1 over trio and h11: the connections that the gateway accepts and those that it opens."""
