"""Policy that advances, holds, withdraws and finishes roll-outs."""

from __future__ import annotations

from typing import Final

import attrs

from yuccarouter.rollout import evidence as evidence_module
from yuccarouter_common import model

# At most 1 in 100 good versions is withdrawn: the e-value of harm of a good
# version ever exceeds 100 with a probability of at most 1 in 100, however
# often it is checked.
_MIN_HARM_E_VALUE: Final = 100.0
# Needed to advance, for the kind and measure with the smallest e-value.
_MIN_NO_HARM_E_VALUE: Final = 20.0
# Requests of a version that may be unrated at the same time, by step. If only
# ratings show that a version is bad, it serves no more requests than this and
# those that the test needs to detect it.
_MAX_UNRATED_REQUESTS: Final = (40, 200, 1000, 5000)
# Above this share of missing ratings, the received ones may be biased.
_MAX_MISSING_RATING_SHARE: Final = 0.2
# Smallest factor by which a share is lowered or raised within its step, so
# that the configuration does not change with every rating.
_MIN_SHARE_CHANGE_FACTOR: Final = 1.5
# Share of the traffic that stays on the baseline until the roll-out finishes,
# so that the last step is compared with requests of the same time.
_MIN_BASELINE_SHARE: Final = 0.05
# Minimum duration of each step, whatever the evidence: a version that worsens
# slowly is good at first. The third step, a fifth of the traffic, is the
# longest, because a larger share adds exposure but hardly any evidence.
_MIN_STEP_MS: Final = (20 * 60_000, 20 * 60_000, 60 * 60_000, 20 * 60_000)
# Minimum duration of the last step. It is long because a version is no longer
# compared with its baseline once the roll-out has finished.
_MIN_LAST_STEP_MS: Final = 2 * 3_600_000
_CREATED: Final = 'created'
_HELD: Final = 'held'


@attrs.frozen
class Advance:
    """Advance to ``step`` with ``share`` of the traffic."""

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
    """Withdraw the version."""

    reason: str


@attrs.frozen
class Finish:
    """Finish the roll-out: the version gets all the traffic."""

    reason: str


Decision = Advance | Hold | Withdraw | Finish


def decide(
    rollout: model.Rollout,
    evidence: evidence_module.Evidence,
) -> Decision:
    """Return the decision on an active roll-out, with its reason.

    Evidence of harm withdraws the version in every state. A roll-out advances
    only with evidence of no harm from its present step, and never while
    ratings are missing.
    """
    if evidence.harm >= _MIN_HARM_E_VALUE:
        return Withdraw(
            f'worse than {rollout.model}@{rollout.baseline} '
            f'in {evidence.harm_cause} '
            f'(e-value {evidence.harm:.0f} after '
            f'{evidence.request_count} compared requests)'
        )
    if rollout.state == _HELD:
        return Hold(rollout.share, rollout.reason)
    if rollout.state == _CREATED:
        return _decide_created(rollout, evidence)
    return _decide_rolling(rollout, evidence)


def max_unrated(step: int) -> float:
    """Return how many requests may be unrated at once, by step.

    Infinity for the last steps: by then the version has shown no harm at a
    large share.
    """
    return (
        _MAX_UNRATED_REQUESTS[step]
        if step < len(_MAX_UNRATED_REQUESTS)
        else float('inf')
    )


def _decide_rolling(
    rollout: model.Rollout,
    evidence: evidence_module.Evidence,
) -> Decision:
    share = _limited_share(rollout, evidence, rollout.step)
    if share < rollout.share / _MIN_SHARE_CHANGE_FACTOR:
        return Hold(share, f'{evidence.unrated} requests are not rated yet')
    missing = evidence.missing_share > _MAX_MISSING_RATING_SHARE
    shows_no_harm = evidence.no_harm >= _MIN_NO_HARM_E_VALUE and not missing
    if shows_no_harm and _has_min_duration(rollout, evidence):
        return _next_step(rollout, evidence)
    if share < rollout.share * _MIN_SHARE_CHANGE_FACTOR:
        share = rollout.share
    if missing:
        return Hold(share, 'ratings are missing')
    if shows_no_harm:
        return Hold(share, f'step {rollout.step} goes on')
    return Hold(share, f'more evidence is needed on {evidence.weakest_test}')


def _decide_created(
    rollout: model.Rollout,
    evidence: evidence_module.Evidence,
) -> Decision:
    if not evidence.loaded:
        return Hold(0, 'weights are being loaded')
    return Advance(
        0, _limited_share(rollout, evidence, 0), 'weights are loaded'
    )


def _has_min_duration(
    rollout: model.Rollout,
    evidence: evidence_module.Evidence,
) -> bool:
    is_last = rollout.step + 1 >= len(rollout.steps)
    if is_last:
        return evidence.step_elapsed_ms >= _MIN_LAST_STEP_MS
    index = min(rollout.step, len(_MIN_STEP_MS) - 1)
    return evidence.step_elapsed_ms >= _MIN_STEP_MS[index]


def _next_step(
    rollout: model.Rollout,
    evidence: evidence_module.Evidence,
) -> Decision:
    reason = (
        f'no harm at step {rollout.step} (weakest e-value '
        f'{evidence.no_harm:.0f}, {evidence.weakest_test})'
    )
    step = rollout.step + 1
    if step >= len(rollout.steps):
        return Finish(reason)
    return Advance(step, _limited_share(rollout, evidence, step), reason)


def _limited_share(
    rollout: model.Rollout,
    evidence: evidence_module.Evidence,
    step: int,
) -> float:
    """Return the step's share, lowered to limit the unrated requests.

    With a known rating lag, ``share * rate * lag`` requests are unrated at
    the same time. The share is 0 while as many requests as the limit are
    unrated; no other limit applies before the lag is known.
    """
    limit = max_unrated(step)
    if evidence.unrated >= limit:
        return 0
    share = min(rollout.steps[step], 1 - _MIN_BASELINE_SHARE)
    requests_in_lag = evidence.requests_per_s * evidence.rating_lag_ms / 1000
    # Half of the limit, because the rate and the lag vary.
    if requests_in_lag * share > limit / 2:
        share = limit / 2 / requests_in_lag
    return share
