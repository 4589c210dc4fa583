"""Opens the callers' port before the libraries are loaded.

Loading them takes a good part of a second. Callers that connect meanwhile wait
in the backlog of the listening socket instead of being refused. This module
therefore imports no library. It uses ``_socket`` because ``socket`` imports
``enum`` and ``selectors``, which takes as long as the rest of this module.
"""

from __future__ import annotations

import _socket
import os
import time

# Maximum number of connections that wait to be accepted.
BACKLOG = 1024
# On the monotonic clock.
PROCESS_STARTED_MS = time.monotonic() * 1000
_LISTEN_FLAG = '--listen='
# The HTTP library reads all root certificates when it is loaded, which takes
# 0.15 s, and the gateway makes no TLS connections.
_CERTIFICATE_FILE_VARIABLE = 'SSL_CERT_FILE'


def skip_certificates() -> None:
    """Prevent the HTTP library from loading root certificates."""
    os.environ.setdefault(_CERTIFICATE_FILE_VARIABLE, os.devnull)


def open_callers_port(arguments: list[str]) -> int | None:
    """Return a listening socket's descriptor for ``--listen=HOST:PORT``.

    Returns ``None`` if the argument is missing or the port can't be opened.
    The server then opens the port of the settings later and reports the error.
    """
    for argument in arguments:
        if argument.startswith(_LISTEN_FLAG):
            host, _, port = argument.removeprefix(_LISTEN_FLAG).rpartition(':')
            try:
                return open_port(host, int(port))
            except (OSError, ValueError, OverflowError):
                return None
    return None


def open_port(host: str, port: int) -> int:
    """Return the descriptor of a listening socket; raises ``OSError``."""
    family = _socket.AF_INET6 if ':' in host else _socket.AF_INET
    listener = _socket.socket(family, _socket.SOCK_STREAM)
    try:
        listener.setsockopt(_socket.SOL_SOCKET, _socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener.detach()
