"""Records requests of versions in a roll-out, for the controller."""

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

_ACTIVE_STATES: Final = frozenset(('created', 'rolling', 'held'))
_MIN_APPEND_INTERVAL_S: Final = 1.0
# Approximate limit for all entries together, since the log accepts only
# several hundred appends a second in total.
_MAX_APPENDS_PER_S: Final = 20.0
_MAX_QUEUED_OBSERVATIONS: Final = 2000
_MAX_BATCH_OBSERVATIONS: Final = 500
_MAX_QUEUED_ANSWERS: Final = 256
_RATING_WORKERS: Final = 4
# The tests compare blocks of baseline ratings with ratings of the new version.
# More baseline ratings than this multiple would only load the rating service.
_BASELINE_FACTOR: Final = 2.0
_MIN_BASELINE_SHARE: Final = 0.02


@attrs.frozen
class Observation:
    """A completed request of a version that a roll-out compares."""

    version: str
    request: evidence.Request


@attrs.frozen
class RequestResult:
    """A completed request at an entry; ``answer`` is empty if it failed."""

    request_id: str
    version: model.ModelVersion
    kind: str
    failed: bool
    latency_ms: float
    prompt: str = ''
    answer: str = ''


class Observations(mode.Service):
    """Appends observations to the stream ``evidence``; requests ratings.

    Observations are not sent again when the answer to an append is lost, since
    they could then count twice. While evidence is missing, a roll-out does not
    advance.
    """

    def __init__(
        self,
        log_client: history.LogClient,
        rating_client: ratings.Client,
        configuration: Callable[[], model.Configuration],
        rng: random.Random,
        entry_count: Callable[[], int],
    ) -> None:
        super().__init__()
        self._log_client = log_client
        self._rating_client = rating_client
        self._configuration = configuration
        self._rng = rng
        self._entry_count = entry_count
        self._queued: collections.deque[Observation] = collections.deque(
            maxlen=_MAX_QUEUED_OBSERVATIONS
        )
        self._rating_queue: asyncio.Queue[ratings.Answer] = asyncio.Queue(
            _MAX_QUEUED_ANSWERS
        )
        self._cached_shares: tuple[model.Position | None, dict[str, float]] = (
            None,
            {},
        )

    def record(self, completed: RequestResult) -> None:
        """Record a request if a roll-out compares its version."""
        rated_share = self._rated_shares().get(completed.version.name)
        if rated_share is None:
            return
        is_rated = not completed.failed and self._rng.random() < rated_share
        if is_rated:
            is_rated = self._queue_for_rating(completed)
        request = evidence.Request(
            request_id=completed.request_id,
            kind=completed.kind,
            is_new=False,
            failed=completed.failed,
            latency_ms=completed.latency_ms,
            time_ms=clocks.wall_ms(),
            is_rated=is_rated,
        )
        self._queued.append(Observation(completed.version.name, request))

    async def flush(self) -> None:
        """Append the queued observations, one batch after another."""
        while self._queued:
            size = min(len(self._queued), _MAX_BATCH_OBSERVATIONS)
            batch = [self._queued.popleft() for _ in range(size)]
            try:
                await self._log_client.append(
                    STREAM, uuid.uuid4().hex, encode(batch)
                )
            except platform_errors.UnavailableError:
                self._queued.extendleft(reversed(batch))
                return
            except platform_errors.PlatformError as fault:
                eliot.log_message('evidence_lost', reason=fault.message)

    @mode.Service.task
    async def _flush_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(append_interval_s(self._entry_count()))
            await self.flush()

    @mode.Service.task
    async def _run_rating_workers(self) -> None:
        await asyncio.gather(
            *(self._run_rating_worker() for _ in range(_RATING_WORKERS))
        )

    async def _run_rating_worker(self) -> None:
        while not self.should_stop:
            answer = await self._rating_queue.get()
            # A failed rating counts as missing at the controller, which does
            # not advance while too many are missing.
            with contextlib.suppress(platform_errors.PlatformError):
                await self._rating_client.score(answer)

    def _queue_for_rating(self, completed: RequestResult) -> bool:
        answer = ratings.Answer(
            request_id=completed.request_id,
            model=completed.version.model,
            version=completed.version.version,
            kind=completed.kind,
            prompt=completed.prompt,
            answer=completed.answer,
        )
        try:
            self._rating_queue.put_nowait(answer)
        except asyncio.QueueFull:
            return False
        return True

    def _rated_shares(self) -> dict[str, float]:
        """Return the share of answers to rate, cached by configuration."""
        configuration = self._configuration()
        position, shares = self._cached_shares
        if position != configuration.position:
            shares = rated_shares(configuration)
            self._cached_shares = (configuration.position, shares)
        return shares


def append_interval_s(entry_count: int) -> float:
    """Return the append interval of each of ``entry_count`` entries."""
    return max(_MIN_APPEND_INTERVAL_S, entry_count / _MAX_APPENDS_PER_S)


def rated_shares(configuration: model.Configuration) -> dict[str, float]:
    """Return the share of answers to rate by ``model@version``.

    All answers of new versions are rated, and as many of their baselines as
    the comparison can use.
    """
    shares: dict[str, float] = {}
    for rollout in configuration.rollouts.values():
        if rollout.state not in _ACTIVE_STATES:
            continue
        baseline_traffic = max(_MIN_BASELINE_SHARE, 1 - rollout.share)
        baseline_share = _BASELINE_FACTOR * rollout.share / baseline_traffic
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
    except records.ShapeError as fault:
        raise errors.RolloutError(
            f'not a batch of observations: {fault}'
        ) from fault
