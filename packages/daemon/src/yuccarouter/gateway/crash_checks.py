"""Checks whether an endpoint that lost an answer has crashed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from yuccarouter.gateway import endpoints, model

# The next attempt waits for the check. An endpoint that has crashed refuses
# connections at once; a longer wait has another cause.
_CONNECT_TIMEOUT_S: Final = 0.2


@attrs.define
class CrashChecks:
    """Checks of endpoints, one at a time for each endpoint."""

    _pending: dict[str, asyncio.Task[bool]] = attrs.field(factory=dict)

    async def has_crashed(self, view: endpoints.EndpointView) -> bool:
        """Return whether an endpoint refuses connections.

        An endpoint that does not answer may only be cut off, which is no sign
        of a crash.
        """
        check = self._pending.get(view.name)
        if check is None:
            check = asyncio.create_task(
                _refuses_connections(view.announced.address)
            )
            self._pending[view.name] = check
            check.add_done_callback(lambda _: self._pending.pop(view.name))
        return await asyncio.shield(check)


async def _refuses_connections(address: model.Address) -> bool:
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(
                address.host, address.port
            )
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    writer.transport.abort()
    return False
