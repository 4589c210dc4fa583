"""How long digests of peers were on their way.

The clocks of two VMs have no common beginning. But the fastest digests of a
sender show how far they are apart, and so how much longer others took: they
waited in a socket while this VM was suspended, say.
"""

from __future__ import annotations

import math
from typing import Any, Final

import attrs

from yuccarouter.gateway import numbers
from yuccarouter_common import clocks

# The clocks drift apart, and one of them may stand still while its VM is
# suspended. Digests of the last one or two windows are compared.
_WINDOW_MS: Final = 10_000.0


@attrs.define
class _Sender:
    """The digests of a process; offsets are its clock's from this one's."""

    process: object
    sent_ms: float
    window_began_ms: float
    fastest_ms: float = math.inf
    fastest_before_ms: float = math.inf

    def delay_ms(self, sent_ms: float, now_ms: float) -> float:
        self.sent_ms = sent_ms
        if sent_ms - self.window_began_ms >= _WINDOW_MS:
            self.window_began_ms = sent_ms
            self.fastest_before_ms = self.fastest_ms
            self.fastest_ms = math.inf
        offset_ms = now_ms - sent_ms
        self.fastest_ms = min(self.fastest_ms, offset_ms)
        return offset_ms - min(self.fastest_ms, self.fastest_before_ms)


@attrs.define
class DigestDelays:
    """The delays of digests, by the name of their sender."""

    _senders: dict[str, _Sender] = attrs.field(factory=dict)

    def delay_ms(self, name: str, digest: dict[str, Any]) -> float | None:
        """Return the delay of a digest that is received now.

        It is 0 if the digest does not tell when it was sent, by a clock that
        counts the time in which its VM is suspended, and ``None`` if a later
        digest has come before. Raises ``ValueError``.
        """
        if 'sent_ms' not in digest:
            return 0
        sent_ms = numbers.number(digest['sent_ms'])
        process = digest.get('process')
        sender = self._senders.get(name)
        if sender is None or sender.process != process:
            sender = _Sender(process, sent_ms, sent_ms)
            self._senders[name] = sender
        if sent_ms < sender.sent_ms:
            return None
        return sender.delay_ms(sent_ms, clocks.boot_ms())
