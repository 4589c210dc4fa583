"""What a gateway does before its libraries are loaded.

Loading them takes a good part of a second. Callers that connect meanwhile wait
in the queue of the port instead of being turned away. This module therefore
imports no library, and not the standard module of sockets either: it loads
enumerations and selectors first, which takes as long as all the rest here.
"""

from __future__ import annotations

import _socket
import os

# Connections that wait until they are accepted.
BACKLOG = 1024
_LISTEN = '--listen='
# The HTTP library reads all root certificates when it is loaded, which takes
# 0.15 s, and the gateway makes no TLS connections.
_CERTIFICATES_VARIABLE = 'SSL_CERT_FILE'


def skip_certificates() -> None:
    """Let the HTTP library load no root certificates."""
    os.environ.setdefault(_CERTIFICATES_VARIABLE, os.devnull)


def open_callers_port(arguments: list[str]) -> int | None:
    """Return the descriptor of the port that the arguments name, listening.

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


def open_port(host: str, port: int) -> int:
    """Return the descriptor of a listening socket; raises ``OSError``."""
    family = _socket.AF_INET6 if ':' in host else _socket.AF_INET
    opened = _socket.socket(family, _socket.SOCK_STREAM)
    try:
        opened.setsockopt(_socket.SOL_SOCKET, _socket.SO_REUSEADDR, 1)
        opened.bind((host, port))
        opened.listen(BACKLOG)
        opened.setblocking(False)
    except OSError:
        opened.close()
        raise
    return opened.detach()
