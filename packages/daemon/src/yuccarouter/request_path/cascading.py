"""Answering with the steps of a cascade, or with the one version there is."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

import attrs
import orjson

from yuccarouter.request_path import entry_state, plan, sender, whole
from yuccarouter.routing import cascade as cascades
from yuccarouter_common import clocks, refusals
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import ratings

if TYPE_CHECKING:
    from yuccarouter.routing import version_selection
    from yuccarouter_common import model

_MS_PER_S: Final = 1000
# Tokens of English and German text are about this long.
_CHARS_PER_TOKEN: Final = 4
# Refusals of these codes hold for every step.
_FINAL_CODES: Final = frozenset(('invalid_request', 'body_too_large'))


@attrs.frozen
class Work:
    """A planned completion and the versions that may answer it."""

    request: plan.Plan
    resolution: version_selection.Resolution
    progress: plan.Progress
    prefixes: tuple[int, ...] = ()
    prompt: str = ''
    started_s: float = attrs.field(factory=time.monotonic)

    def view(self) -> cascades.Request:
        """Return what the cascade's decisions need to know now."""
        elapsed_s = time.monotonic() - self.started_s
        return cascades.Request(
            kind=self.request.kind.name,
            elapsed_ms=elapsed_s * _MS_PER_S,
            remaining_ms=self.request.remaining_ms(),
            prompt_tokens=len(self.prompt) // _CHARS_PER_TOKEN,
        )


def streaming_attempt(
    shared: entry_state.EntryState, work: Work
) -> sender.Sending:
    """Return the attempt that a stream starts with.

    A stream can't be taken back, so a cheap step is only used when what has
    been learned of it reaches the target without a look at its answer.
    """
    versions = work.resolution.versions
    cascade = work.resolution.cascade
    if cascade is None:
        return _attempt(work, versions[-1])
    estimates = shared.cascades.estimates
    for version in versions[:-1]:
        learned = estimates.mean_lower_bound(
            work.request.kind.name, version.name
        )
        if learned >= cascade.quality_target:
            work.progress.explain(
                'cascade_stream', version=version.name, lower_bound=learned
            )
            return _attempt(work, version)
    return _attempt(work, versions[-1])


async def answer(shared: entry_state.EntryState, work: Work) -> plan.Answer:
    """Return the whole answer of the first step that suffices.

    Raises ``RefusalError``.
    """
    cascade = work.resolution.cascade
    versions = work.resolution.versions
    if cascade is None:
        return await whole.answer(shared, _attempt(work, versions[-1]))
    place = 0
    while True:
        step = shared.cascades.next_step(cascade, versions, place, work.view())
        work.progress.explain(
            'cascade_step',
            version=step.version.name,
            considered=[attrs.asdict(option) for option in step.considered],
        )
        is_last = step.place == len(versions) - 1
        found = await _run_step(shared, work, step.version, is_last=is_last)
        if found is not None:
            if is_last or await _suffices(shared, work, cascade, found):
                return found
        work.progress.start_step()
        place = step.place + 1


async def _run_step(
    shared: entry_state.EntryState,
    work: Work,
    version: model.ModelVersion,
    *,
    is_last: bool,
) -> plan.Answer | None:
    """Return a step's answer; ``None`` when a later step is to answer."""
    started_ms = clocks.monotonic_ms()
    try:
        found = await whole.answer(shared, _attempt(work, version))
    except refusals.RefusalError as fault:
        is_over = not work.request.remaining_ms()
        if is_last or is_over or fault.code in _FINAL_CODES:
            raise
        work.progress.explain('cascade_step_failed', code=fault.code)
        return None
    key = cascades.step_key(work.request.kind.name, version.name)
    shared.latencies.record(key, clocks.monotonic_ms() - started_ms)
    return found


async def _suffices(
    shared: entry_state.EntryState,
    work: Work,
    cascade: model.Cascade,
    found: plan.Answer,
) -> bool:
    version = found.target.version
    if version is None:
        return True
    wait_ms = shared.cascades.rating_wait_ms(
        cascade, work.resolution.versions, work.view()
    )
    wait_ms = min(wait_ms, shared.conf.timing.rating_timeout_ms)
    score = await _score(shared, work, found, wait_ms)
    accepted = shared.cascades.accept(
        cascade, version, work.request.kind.name, score, is_last=False
    )
    work.progress.explain(
        'cascade_acceptance',
        version=version.name,
        score=score,
        **attrs.asdict(accepted),
    )
    return accepted.accepted


async def _score(
    shared: entry_state.EntryState,
    work: Work,
    found: plan.Answer,
    wait_ms: float,
) -> float | None:
    """Return the rating of an answer, ``None`` when there is none in time."""
    version = found.target.version
    if version is None or wait_ms <= 0:
        return None
    asked = ratings.Answer(
        request_id=work.request.request_id,
        model=version.model,
        version=version.version,
        kind=work.request.kind.name,
        prompt=work.prompt,
        answer=text_of(found.body),
    )
    started_ms = clocks.monotonic_ms()
    try:
        score = await shared.ratings.score(asked, wait_ms / _MS_PER_S)
    except platform_errors.PlatformError as fault:
        work.progress.explain('rating_missing', why=fault.message)
        return None
    shared.latencies.record(
        cascades.RATING_KEY, clocks.monotonic_ms() - started_ms
    )
    return score


def text_of(body: bytes) -> str:
    """Return the text of a chat completion, empty if it has none."""
    try:
        document: Any = orjson.loads(body)
        content = document['choices'][0]['message']['content']
    except (ValueError, KeyError, IndexError, TypeError):
        return ''
    return content if isinstance(content, str) else ''


def _attempt(work: Work, version: model.ModelVersion) -> sender.Sending:
    return sender.Sending(
        work.request,
        plan.Target(pool=version.pool, version=version),
        work.progress,
        prefixes=work.prefixes,
    )
