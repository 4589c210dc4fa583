"""Memory that a parser takes for the header and trailer fields of a message."""

from __future__ import annotations

from typing import Final

import attrs

# A line is kept as received, as bytes and as text. A character of the text
# takes a byte, or four if a single one of its line needs them.
_ASCII_COPIES: Final = 3
_TEXT_COPIES: Final = 6
# Objects of a line, beside its text.
_LINE_BYTES: Final = 500


@attrs.define
class HeldFields:
    """What is held of the fields that were received so far.

    It is an upper bound, as the parser doesn't tell where a line ends:

        fields = HeldFields()
        fields.add(b'X-Name: value')
        fields.held_bytes
    """

    _received_bytes: int = 0
    _lines: int = 0
    _is_ascii: bool = True

    def add(self, received: bytes) -> None:
        """Add received bytes."""
        self._received_bytes += len(received)
        self._lines += received.count(b'\n')
        self._is_ascii = self._is_ascii and received.isascii()

    @property
    def held_bytes(self) -> int:
        """Memory of the fields, in bytes with all copies."""
        copies = _ASCII_COPIES if self._is_ascii else _TEXT_COPIES
        return copies * self._received_bytes + _LINE_BYTES * self._lines
