"""The callers' port, opened before the rest of the program is loaded.

Loading the libraries takes a good part of a second. Callers that connect
meanwhile wait in the queue of the port instead of being turned away. This
module therefore imports no library.
"""

from __future__ import annotations

import socket
from typing import Final

# Connections that wait until they are accepted.
BACKLOG: Final = 1024


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
