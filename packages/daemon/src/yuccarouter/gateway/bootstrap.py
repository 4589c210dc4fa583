"""Opens the callers' port and accepts signals before the libraries are loaded.

Loading them takes a good part of a second. Callers that connect meanwhile wait
in the backlog of the listening socket instead of being refused. This module
therefore imports no library. It uses ``_socket`` and ``_signal`` because
``socket`` and ``signal`` import ``enum``, which takes as long as the rest of
this module.
"""

from __future__ import annotations

import _signal  # type: ignore[import-not-found]
import _socket
import gc
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


# Number of signals to reload the settings that came before the settings can be
# reloaded.
_early_reloads = [0]


def accept_reload_signals() -> None:
    """Count signals to reload the settings instead of ending the process.

    The default action of SIGHUP ends a process that has not installed its
    handler yet.
    """
    _signal.signal(_signal.SIGHUP, _count_reload)


def take_early_reloads() -> int:
    """Return the number of signals since the last call."""
    count = _early_reloads[0]
    _early_reloads[0] = 0
    return count


def _count_reload(_number: int, _frame: object) -> None:
    _early_reloads[0] += 1


def pause_collector() -> None:
    """Stop the cyclic garbage collector while the libraries are loaded.

    Nearly all that they allocate is kept, and the collector takes a tenth of
    the time in which a process starts.
    """
    gc.disable()


def resume_collector() -> None:
    """Collect garbage again, without what was loaded until now."""
    gc.freeze()
    gc.enable()


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
