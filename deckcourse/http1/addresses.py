"""Validation of the addresses that connections are opened to."""

import re
from ipaddress import IPv4Address

__all__ = ["is_address"]

_ADDRESS = re.compile(r"([0-9.]{7,15}):([1-9][0-9]{0,4})")
MAX_PORT = 65535
# The broadcast address of the local network.
_BROADCAST = IPv4Address("255.255.255.255")


def is_address(text: str) -> bool:
    """Return whether a text is the `IP:port` of a single host.

    Only IPv4 is accepted: a host name would cause a DNS lookup. 0.0.0.0 would be the local host.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None or int(match[2]) > MAX_PORT:
        return False
    try:
        address = IPv4Address(match[1])
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast or address == _BROADCAST)
