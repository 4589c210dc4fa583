"""What a gateway does before its libraries are loaded.

Loading them takes a good part of a second. Callers that connect meanwhile wait
in the queue of the port instead of being turned away. This module therefore
imports no library, and of the standard one only what loads fast.
"""

from __future__ import annotations

import os
import socket

# Connections that wait until they are accepted.
BACKLOG = 1024
_LISTEN = '--listen='
# The HTTP library reads all root certificates when it is loaded, which takes
# 0.15 s, and the gateway makes no TLS connections.
_CERTIFICATES_VARIABLE = 'SSL_CERT_FILE'


def skip_certificates() -> None:
    """Let the HTTP library load no root certificates."""
    os.environ.setdefault(_CERTIFICATES_VARIABLE, os.devnull)


def open_callers_port(arguments: list[str]) -> socket.socket | None:
    """Return the port that the arguments name, listening.

    Where that fails the program opens the port of its settings later, and
    tells what is wrong with the address.
    """
    for argument in arguments:
        if argument.startswith(_LISTEN):
            host, _, port = argument.removeprefix(_LISTEN).rpartition(':')
            try:
                return open_port(host, int(port))
            except (OSError, ValueError, OverflowError):
                return None
    return None


def open_port(host: str, port: int) -> socket.socket:
    """Return a listening socket; raises ``OSError``."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((host, port))
        opened.listen(BACKLOG)
        opened.setblocking(False)
    except OSError:
        opened.close()
        raise
    return opened
