"""Addresses as this system dials them."""

import re
from ipaddress import IPv4Address

__all__ = ["is_address"]

_ADDRESS = re.compile(r"([0-9.]{7,15}):([1-9][0-9]{0,4})")
LARGEST_PORT = 65535
# The address that stands for all of a network.
_EVERYBODY = IPv4Address("255.255.255.255")


def is_address(text: str) -> bool:
    """Return whether a text is `IP:port` of one machine.

    Only IPv4 is dialled. A name would be asked for at a resolver, and 0.0.0.0 is this machine.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None or int(match[2]) > LARGEST_PORT:
        return False
    try:
        machine = IPv4Address(match[1])
    except ValueError:
        return False
    return not (machine.is_unspecified or machine.is_multicast or machine == _EVERYBODY)
