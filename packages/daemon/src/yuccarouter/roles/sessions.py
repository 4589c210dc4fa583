"""HTTP sessions that live as long as the service that uses them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aiohttp


class Closing:
    """Closes an HTTP session when its service has stopped."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def __aenter__(self) -> aiohttp.ClientSession:
        return self._session

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()
