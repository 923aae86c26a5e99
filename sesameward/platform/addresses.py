"""Parse addresses as the platform writes them."""

from __future__ import annotations

import ipaddress

from ..settings import Endpoint

MAX_PORT = 65_535


def parse(text: str) -> Endpoint:
    """Return the numeric IP address and port in a text.

    Raise ValueError if the text is anything else. There are no name lookups
    on the platform.
    """
    host, _, port = text.rpartition(':')
    # int() also accepts other digits than ASCII ones, signs and spaces.
    if not (port.isascii() and port.isdigit()):
        raise ValueError('no port')
    if len(port) > len(str(MAX_PORT)) or int(port) > MAX_PORT:
        raise ValueError('the port is too large')
    return Endpoint(str(ipaddress.ip_address(host)), int(port))
