"""Placement of a model's layers on upstreams, and the request paths over them."""
