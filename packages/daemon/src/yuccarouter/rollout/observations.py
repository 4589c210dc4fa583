"""What an entry sees of versions in a roll-out, for the controller."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import uuid
from typing import TYPE_CHECKING, Any, Final

import attrs
import eliot
import mode

from yuccarouter.rollout import errors, evidence
from yuccarouter_common import clocks, records
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import ratings

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter_common import history, model

STREAM: Final = 'evidence'

_ACTIVE: Final = frozenset(('created', 'rolling', 'held'))
_INTERVAL_S: Final = 1.0
# All entries together append at most about this often, whatever their number,
# since the log takes several hundred appends a second for everything.
_APPENDS_PER_S: Final = 20.0
_MAX_HELD: Final = 2000
_MAX_BATCH: Final = 500
_MAX_UNRATED: Final = 256
_RATERS: Final = 4
# The test pairs blocks of baseline ratings with ratings of the new version;
# rating more of the baseline than this would only load the rating service.
_BASELINE_FACTOR: Final = 2.0
_MIN_BASELINE_SHARE: Final = 0.02


@attrs.frozen
class Observation:
    """A completed request of a version that a roll-out compares."""

    version: str
    request: evidence.Request


@attrs.frozen
class RequestResult:
    """A request as an entry saw its end; ``answer`` is empty if it failed."""

    request_id: str
    version: model.ModelVersion
    kind: str
    failed: bool
    latency_ms: float
    prompt: str = ''
    answer: str = ''


class Observations(mode.Service):
    """Batches observations into the stream ``evidence``; asks for ratings.

    Observations are not sent again after a lost answer, since they could
    count twice then. A roll-out is held, not advanced, when they are missing.
    """

    def __init__(
        self,
        client: history.LogClient,
        rater: ratings.Client,
        configuration: Callable[[], model.Configuration],
        rng: random.Random,
        entries: Callable[[], int],
    ) -> None:
        super().__init__()
        self._client = client
        self._rater = rater
        self._configuration = configuration
        self._rng = rng
        self._entries = entries
        self._held: collections.deque[Observation] = collections.deque(
            maxlen=_MAX_HELD
        )
        self._unrated: asyncio.Queue[ratings.Answer] = asyncio.Queue(
            _MAX_UNRATED
        )
        self._compared: tuple[model.Position | None, dict[str, float]] = (
            None,
            {},
        )

    def record(self, seen: RequestResult) -> None:
        """Take note of a request if a roll-out compares its version."""
        rated_share = self._rated_shares().get(seen.version.name)
        if rated_share is None:
            return
        is_rated = not seen.failed and self._rng.random() < rated_share
        if is_rated:
            is_rated = self._ask_for_rating(seen)
        request = evidence.Request(
            request_id=seen.request_id,
            kind=seen.kind,
            is_new=False,
            failed=seen.failed,
            latency_ms=seen.latency_ms,
            time_ms=clocks.wall_ms(),
            is_rated=is_rated,
        )
        self._held.append(Observation(seen.version.name, request))

    async def flush(self) -> None:
        """Append what is held, one batch after another."""
        while self._held:
            size = min(len(self._held), _MAX_BATCH)
            batch = [self._held.popleft() for _ in range(size)]
            try:
                await self._client.append(
                    STREAM, uuid.uuid4().hex, encode(batch)
                )
            except platform_errors.UnavailableError:
                self._held.extendleft(reversed(batch))
                return
            except platform_errors.PlatformError as fault:
                eliot.log_message('evidence_lost', reason=fault.message)

    @mode.Service.task
    async def _flush_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(interval_s(self._entries()))
            await self.flush()

    @mode.Service.task
    async def _rate(self) -> None:
        await asyncio.gather(*(self._rate_next() for _ in range(_RATERS)))

    async def _rate_next(self) -> None:
        while not self.should_stop:
            answer = await self._unrated.get()
            # A rating that is not given stays due; the controller holds the
            # share meanwhile.
            with contextlib.suppress(platform_errors.PlatformError):
                await self._rater.score(answer)

    def _ask_for_rating(self, seen: RequestResult) -> bool:
        answer = ratings.Answer(
            request_id=seen.request_id,
            model=seen.version.model,
            version=seen.version.version,
            kind=seen.kind,
            prompt=seen.prompt,
            answer=seen.answer,
        )
        try:
            self._unrated.put_nowait(answer)
        except asyncio.QueueFull:
            return False
        return True

    def _rated_shares(self) -> dict[str, float]:
        """Return which share of the answers of each version is rated."""
        configuration = self._configuration()
        position, shares = self._compared
        if position != configuration.position:
            shares = rated_shares(configuration)
            self._compared = (configuration.position, shares)
        return shares


def interval_s(entries: int) -> float:
    """Return the time between two appends of one of ``entries`` entries."""
    return max(_INTERVAL_S, entries / _APPENDS_PER_S)


def rated_shares(configuration: model.Configuration) -> dict[str, float]:
    """Return the share of answers to rate by ``model@version``.

    All answers of new versions are rated, and as many of their baselines as
    the comparison can use.
    """
    shares: dict[str, float] = {}
    for rollout in configuration.rollouts.values():
        if rollout.state not in _ACTIVE:
            continue
        others = max(_MIN_BASELINE_SHARE, 1 - rollout.share)
        baseline_share = _BASELINE_FACTOR * rollout.share / others
        baseline = f'{rollout.model}@{rollout.baseline}'
        shares[f'{rollout.model}@{rollout.version}'] = 1
        shares[baseline] = max(
            shares.get(baseline, 0),
            min(1, baseline_share + _MIN_BASELINE_SHARE),
        )
    return shares


def encode(batch: list[Observation]) -> dict[str, Any]:
    """Return the payload of one record of the stream."""
    return {'observations': records.converter.unstructure(batch)}


def decode(payload: Any) -> list[Observation]:
    """Parse a payload of the stream; raises ``RolloutError``."""
    try:
        return records.structure_field(
            payload, 'observations', list[Observation]
        )
    except records.ShapeError as bad:
        raise errors.RolloutError(f'not a batch of evidence: {bad}') from bad
