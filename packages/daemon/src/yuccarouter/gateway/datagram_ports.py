"""A UDP port whose waiting datagrams are received in one turn of the loop."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from yuccarouter.gateway import model

_MAX_DATAGRAM_BYTES: Final = 65_536
# Datagrams that are received in a turn of the event loop. Peers send fewer in
# a second, and others have their turn meanwhile.
_MAX_RECEIVED: Final = 256


@attrs.define
class DatagramPort:
    """Passes datagrams to a protocol, as a transport of the event loop does.

    The event loop's own transport receives one datagram in each turn: where
    turns take long, others wait in the socket for seconds, or are dropped.

    Example: ``port = open_port(gossip, address)``.
    """

    _socket: socket.socket
    _protocol: asyncio.DatagramProtocol

    @property
    def address(self) -> tuple[str, int]:
        """Host and port at which datagrams are received."""
        host, port = self._socket.getsockname()
        return host, port

    def sendto(self, payload: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; one for which there is no room is dropped."""
        try:
            self._socket.sendto(payload, address)
        except OSError as fault:
            self._protocol.error_received(fault)

    def receive(self) -> None:
        """Pass on the datagrams that wait."""
        for _ in range(_MAX_RECEIVED):
            try:
                payload, sender = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as fault:
                self._protocol.error_received(fault)
                return
            self._protocol.datagram_received(payload, sender)

    def close(self) -> None:
        """Close the port."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()


def open_port(
    protocol: asyncio.DatagramProtocol, address: model.Address
) -> DatagramPort:
    """Return an open port of the running event loop; raises ``OSError``."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        opened.setblocking(False)  # noqa: FBT003
        opened.bind((address.host, address.port))
    except OSError:
        opened.close()
        raise
    port = DatagramPort(opened, protocol)
    asyncio.get_running_loop().add_reader(opened, port.receive)
    return port
