"""Client of the rate-limited weight store."""

from __future__ import annotations

from typing import Final

import aiohttp
import attrs
import orjson

from yuccarouter_common.platform import exchanges

_SERVICE: Final = 'weight store'
_TIMEOUT_S: Final = 5.0


@attrs.frozen
class Client:
    """Access to the weight store over a shared HTTP session."""

    session: aiohttp.ClientSession
    url: str

    async def load(
        self,
        endpoint: str,
        model: str,
        version: str,
        timeout_s: float = _TIMEOUT_S,
    ) -> None:
        """Order the store to send a version's weights to an endpoint.

        Raises ``RateLimitedError`` with the time to wait, ``UnavailableError``
        when nothing took effect and ``AnswerLostError`` when that is not
        known. A retry after a lost answer costs at most one more load.
        """
        body = {'endpoint': endpoint, 'model': model, 'version': version}
        await exchanges.send(
            self.session,
            exchanges.Request(
                _SERVICE,
                'POST',
                f'{self.url}/loads',
                timeout_s,
                orjson.dumps(body),
                has_side_effects=True,
            ),
        )
