"""Validates the addresses of processes in settings and records."""

from __future__ import annotations

import ipaddress
import reprlib
from typing import Final, TypeGuard

from yuccarouter.gateway import model

_MAX_PORT: Final = 65535


def local(host: object, port: object) -> model.Address:
    """Return an address to listen at; raises ``ValueError``.

    Names of hosts are rejected: their look-up would block the process.
    """
    if not (isinstance(host, str) and _is_port(port)):
        raise _error(host, port)
    try:
        ip = ipaddress.IPv4Address(host)
    except ipaddress.AddressValueError as fault:
        raise _error(host, port) from fault
    return model.Address(str(ip), port)


def remote(host: object, port: object) -> model.Address:
    """Return an address to connect to; raises ``ValueError``.

    Addresses that no single host can have are rejected. A connection to the
    unspecified address would reach this host.
    """
    address = local(host, port)
    ip = ipaddress.IPv4Address(address.host)
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise _error(host, port)
    return address


def _is_port(port: object) -> TypeGuard[int]:
    if isinstance(port, bool) or not isinstance(port, int):
        return False
    return 0 < port <= _MAX_PORT


def _error(host: object, port: object) -> ValueError:
    return ValueError(
        f'not an address: {reprlib.repr(host)}, {reprlib.repr(port)}'
    )
