"""Answers from the steps of a cascade or from a single version."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

import attrs
import orjson

from yuccarouter.request_path import (
    entry_state,
    non_streaming,
    request_types,
    sender,
)
from yuccarouter.routing import cascade as cascades
from yuccarouter_common import clocks, refusals
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import ratings

if TYPE_CHECKING:
    from yuccarouter.routing import version_selection
    from yuccarouter_common import model

_MS_PER_S: Final = 1000
# Average length of a token of English or German text.
_CHARS_PER_TOKEN: Final = 4
# Refusals with these codes would be the same at every step.
_FINAL_CODES: Final = frozenset(('invalid_request', 'body_too_large'))


@attrs.frozen
class CompletionRequest:
    """A chat completion request and the versions that may answer it."""

    request: request_types.CallerRequest
    resolution: version_selection.Resolution
    progress: request_types.Progress
    prefixes: tuple[int, ...] = ()
    prompt: str = ''
    started_s: float = attrs.field(factory=time.monotonic)

    def cascade_request(self) -> cascades.Request:
        """Return the input of the cascade's decisions at this moment."""
        elapsed_s = time.monotonic() - self.started_s
        return cascades.Request(
            kind=self.request.kind.name,
            elapsed_ms=elapsed_s * _MS_PER_S,
            remaining_ms=self.request.remaining_ms(),
            prompt_tokens=len(self.prompt) // _CHARS_PER_TOKEN,
        )


def first_stream_attempt(
    shared: entry_state.EntryState, completion: CompletionRequest
) -> sender.AttemptSpec:
    """Return the first attempt of a streamed answer.

    A stream can't be withdrawn once it is sent. A cheaper step is therefore
    used only when the lower bound of its estimated mean quality reaches the
    target, since its answer can't be rated first.
    """
    versions = completion.resolution.versions
    cascade = completion.resolution.cascade
    if cascade is None:
        return _attempt_spec(completion, versions[-1])
    estimates = shared.cascades.estimates
    for version in versions[:-1]:
        quality_bound = estimates.mean_lower_bound(
            completion.request.kind.name, version.name
        )
        if quality_bound >= cascade.quality_target:
            completion.progress.explain(
                'cascade_stream',
                version=version.name,
                lower_bound=quality_bound,
            )
            return _attempt_spec(completion, version)
    return _attempt_spec(completion, versions[-1])


async def answer(
    shared: entry_state.EntryState, completion: CompletionRequest
) -> request_types.Answer:
    """Return the complete answer of the first step that is accepted.

    Raises ``RefusalError``.
    """
    cascade = completion.resolution.cascade
    versions = completion.resolution.versions
    if cascade is None:
        return await non_streaming.answer(
            shared, _attempt_spec(completion, versions[-1])
        )
    step_index = 0
    while True:
        step = shared.cascades.next_step(
            cascade, versions, step_index, completion.cascade_request()
        )
        completion.progress.explain(
            'cascade_step',
            version=step.version.name,
            considered=[attrs.asdict(option) for option in step.considered],
        )
        is_last = step.place == len(versions) - 1
        step_answer = await _run_step(
            shared, completion, step.version, is_last=is_last
        )
        if step_answer is not None:
            if is_last or await _is_accepted(
                shared, completion, cascade, step_answer
            ):
                return step_answer
        completion.progress.start_step()
        step_index = step.place + 1


async def _run_step(
    shared: entry_state.EntryState,
    completion: CompletionRequest,
    version: model.ModelVersion,
    *,
    is_last: bool,
) -> request_types.Answer | None:
    """Return a step's answer; ``None`` if it failed and others remain."""
    started_ms = clocks.monotonic_ms()
    try:
        step_answer = await non_streaming.answer(
            shared, _attempt_spec(completion, version)
        )
    except refusals.RefusalError as fault:
        is_over = not completion.request.remaining_ms()
        if is_last or is_over or fault.code in _FINAL_CODES:
            raise
        completion.progress.explain('cascade_step_failed', code=fault.code)
        return None
    key = cascades.step_key(completion.request.kind.name, version.name)
    shared.latencies.record(key, clocks.monotonic_ms() - started_ms)
    return step_answer


async def _is_accepted(
    shared: entry_state.EntryState,
    completion: CompletionRequest,
    cascade: model.Cascade,
    step_answer: request_types.Answer,
) -> bool:
    version = step_answer.target.version
    if version is None:
        return True
    wait_ms = shared.cascades.rating_wait_ms(
        cascade, completion.resolution.versions, completion.cascade_request()
    )
    wait_ms = min(wait_ms, shared.conf.timing.rating_timeout_ms)
    score = await _rating(shared, completion, step_answer, wait_ms)
    accepted = shared.cascades.accept(
        cascade, version, completion.request.kind.name, score, is_last=False
    )
    completion.progress.explain(
        'cascade_acceptance',
        version=version.name,
        score=score,
        **attrs.asdict(accepted),
    )
    return accepted.accepted


async def _rating(
    shared: entry_state.EntryState,
    completion: CompletionRequest,
    step_answer: request_types.Answer,
    wait_ms: float,
) -> float | None:
    """Return the rating of an answer; ``None`` if none arrives in time."""
    version = step_answer.target.version
    if version is None or wait_ms <= 0:
        return None
    rated = ratings.Answer(
        request_id=completion.request.request_id,
        model=version.model,
        version=version.version,
        kind=completion.request.kind.name,
        prompt=completion.prompt,
        answer=answer_text(step_answer.body),
    )
    started_ms = clocks.monotonic_ms()
    try:
        score = await shared.ratings.score(rated, wait_ms / _MS_PER_S)
    except platform_errors.PlatformError as fault:
        completion.progress.explain('rating_missing', why=fault.message)
        return None
    shared.latencies.record(
        cascades.RATING_KEY, clocks.monotonic_ms() - started_ms
    )
    return score


def answer_text(body: bytes) -> str:
    """Return the text of a chat completion; empty if it has none."""
    try:
        document: Any = orjson.loads(body)
        content = document['choices'][0]['message']['content']
    except (ValueError, KeyError, IndexError, TypeError):
        return ''
    return content if isinstance(content, str) else ''


def _attempt_spec(
    completion: CompletionRequest, version: model.ModelVersion
) -> sender.AttemptSpec:
    return sender.AttemptSpec(
        completion.request,
        request_types.Target(pool=version.pool, version=version),
        completion.progress,
        prefixes=completion.prefixes,
    )
