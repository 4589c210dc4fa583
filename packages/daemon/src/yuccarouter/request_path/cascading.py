"""Answering with the steps of a cascade, or with the one version there is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from yuccarouter.request_path import plan, sender, whole

if TYPE_CHECKING:
    from yuccarouter.request_path import router
    from yuccarouter.routing import allowed
    from yuccarouter_common import model


@attrs.frozen
class Work:
    """A planned completion and the versions that may answer it."""

    request: plan.Plan
    resolution: allowed.Resolution
    progress: plan.Progress
    prefixes: tuple[int, ...] = ()


def streaming_attempt(shared: router.Router, work: Work) -> sender.Sending:
    """Return the attempt that a stream starts with."""
    return _attempt(work, work.resolution.versions[-1])


async def answer(shared: router.Router, work: Work, prompt: str) -> plan.Answer:
    """Return the whole answer of the first step that suffices.

    Raises ``RefusalError``.
    """
    return await whole.answer(
        shared, _attempt(work, work.resolution.versions[-1])
    )


def _attempt(work: Work, version: model.ModelVersion) -> sender.Sending:
    return sender.Sending(
        work.request,
        plan.Target(pool=version.pool, version=version),
        work.progress,
        prefixes=work.prefixes,
    )
