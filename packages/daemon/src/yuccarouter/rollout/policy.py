"""Deciding what becomes of a roll-out."""

from __future__ import annotations

from typing import Final

import attrs

from yuccarouter.rollout import evidence as evidence_module
from yuccarouter_common import model

# At most 1 in 100 good versions is withdrawn: an e-value of harm exceeds 100
# with a probability of at most 1 in 100, whenever it is looked at.
_HARM: Final = 100.0
# The e-value of no harm that a step needs, for the weakest kind and measure.
_NO_HARM: Final = 20.0
# Requests of a version that may be unrated at the same time, by step. A
# version that only ratings show to be bad reaches no more callers than this
# and those that the test itself needs.
_MAX_UNRATED: Final = (40, 200, 1000, 5000)
# Above this share of missing ratings, those that came may be a biased part.
_MAX_MISSING_SHARE: Final = 0.2
# A share is lowered or raised within its step only by this factor or more,
# so that the configuration does not change with every rating.
_SHARE_FACTOR: Final = 1.5
# Part of the traffic that stays on the baseline until the roll-out finishes,
# so that the last step is compared with requests of the same time.
_HELD_BACK: Final = 0.05
# How long each step lasts at least, whatever the evidence: a version that
# worsens slowly is good at first. The third step, a fifth of the traffic, is
# the longest, because a larger share adds exposure but hardly any evidence.
_STEPS_MS: Final = (20 * 60_000, 20 * 60_000, 60 * 60_000, 20 * 60_000)
# How long the last step lasts at least. A version that worsens after its
# roll-out is finished is no longer compared with anything.
_LAST_STEP_MS: Final = 2 * 3_600_000
_CREATED: Final = 'created'
_HELD: Final = 'held'


@attrs.frozen
class Advance:
    """Go on to ``step`` with ``share`` of the traffic."""

    step: int
    share: float
    reason: str


@attrs.frozen
class Hold:
    """Stay at the step; ``share`` may be below the step's own."""

    share: float
    reason: str


@attrs.frozen
class Withdraw:
    """Take the version out of use."""

    reason: str


@attrs.frozen
class Finish:
    """The version has replaced its baseline."""

    reason: str


Decision = Advance | Hold | Withdraw | Finish


def decide(
    rollout: model.Rollout,
    evidence: evidence_module.Evidence,
) -> Decision:
    """Return what becomes of an active roll-out, and why.

    Evidence of harm withdraws the version in every state. A step is left only
    with evidence of no harm from that step, and never while ratings are
    missing.
    """
    if evidence.harm >= _HARM:
        return Withdraw(
            f'worse than {rollout.model}@{rollout.baseline} '
            f'in {evidence.harm_cause} '
            f'(e-value {evidence.harm:.0f} after {evidence.sent} compared '
            'requests)'
        )
    if rollout.state == _HELD:
        return Hold(rollout.share, rollout.reason)
    if rollout.state == _CREATED:
        return _begin(rollout, evidence)
    return _go_on(rollout, evidence)


def max_unrated(step: int) -> float:
    """Requests that may be unrated at the same time; none at the last steps.

    The limit ends once the version has proved itself on a large share.
    """
    return _MAX_UNRATED[step] if step < len(_MAX_UNRATED) else float('inf')


def _go_on(
    rollout: model.Rollout,
    evidence: evidence_module.Evidence,
) -> Decision:
    share = _share_at(rollout, evidence, rollout.step)
    if share < rollout.share / _SHARE_FACTOR:
        return Hold(share, f'{evidence.unrated} requests are not rated yet')
    missing = evidence.missing_share > _MAX_MISSING_SHARE
    proven = evidence.no_harm >= _NO_HARM and not missing
    if proven and _is_long_enough(rollout, evidence):
        return _next_step(rollout, evidence)
    if share < rollout.share * _SHARE_FACTOR:
        share = rollout.share
    if missing:
        return Hold(share, 'ratings are missing')
    if proven:
        return Hold(share, f'step {rollout.step} goes on')
    return Hold(share, f'more evidence is needed on {evidence.weakest}')


def _begin(
    rollout: model.Rollout,
    evidence: evidence_module.Evidence,
) -> Decision:
    if not evidence.loaded:
        return Hold(0, 'weights are being loaded')
    return Advance(0, _share_at(rollout, evidence, 0), 'weights are loaded')


def _is_long_enough(
    rollout: model.Rollout,
    evidence: evidence_module.Evidence,
) -> bool:
    is_last = rollout.step + 1 >= len(rollout.steps)
    if is_last:
        return evidence.in_step_ms >= _LAST_STEP_MS
    place = min(rollout.step, len(_STEPS_MS) - 1)
    return evidence.in_step_ms >= _STEPS_MS[place]


def _next_step(
    rollout: model.Rollout,
    evidence: evidence_module.Evidence,
) -> Decision:
    reason = (
        f'no harm at step {rollout.step} (weakest e-value '
        f'{evidence.no_harm:.0f}, {evidence.weakest})'
    )
    step = rollout.step + 1
    if step >= len(rollout.steps):
        return Finish(reason)
    return Advance(step, _share_at(rollout, evidence, step), reason)


def _share_at(
    rollout: model.Rollout,
    evidence: evidence_module.Evidence,
    step: int,
) -> float:
    """Return the step's share, limited by the requests in doubt.

    With a known rating lag, ``share * rate * lag`` requests are unrated at
    the same time. Without one, the limit on those sent stops the share.
    """
    limit = max_unrated(step)
    if evidence.unrated >= limit:
        return 0
    share = min(rollout.steps[step], 1 - _HELD_BACK)
    in_lag = evidence.requests_per_s * evidence.rating_lag_ms / 1000
    # Half of the limit, because the rate and the lag vary.
    if in_lag * share > limit / 2:
        share = limit / 2 / in_lag
    return share
