"""Tests of which size of model is asked."""

from __future__ import annotations

import pytest

from yuccarouter.gateway import model_escalation

OBJECTIVE_MS = 2000.0


@pytest.mark.parametrize(
    ('models', 'asked'),
    [
        (('only',), ('only',)),
        (('small', 'large'), ('small', 'large')),
        (('small', 'middle', 'large'), ('small', 'large')),
    ],
)
def test_smallest_then_largest(
    models: tuple[str, ...], asked: tuple[str, ...]
) -> None:
    """Guards against the middle size, which answers little that is hard."""
    assert model_escalation.plan_for(models).models == asked


@pytest.mark.parametrize(
    ('step', 'confidence', 'accepted'),
    [
        (0, None, False),
        (0, 0, False),
        (0, model_escalation.ACCEPTED_CONFIDENCE - 1, False),
        (0, model_escalation.ACCEPTED_CONFIDENCE, True),
        (1, 0, True),
        (1, None, True),
    ],
)
def test_accepted_answers(
    step: int, confidence: float | None, accepted: bool
) -> None:
    """Guards against doubtful answers, and against having none at all."""
    plan = model_escalation.plan_for(('small', 'large'))
    assert plan.accepts(step, confidence) is accepted


@pytest.mark.parametrize(
    ('pattern', 'prospect', 'asked_by_rank'),
    [
        ('idle engines', (50, 0, 200), (True, True, True)),
        (
            'a short queue: the last rank does without',
            (50, 300, 200),
            (True, True, False),
        ),
        (
            'a queue: only the first rank asks',
            (50, 900, 200),
            (True, False, False),
        ),
        ('engines are behind', (50, 1100, 200), (False, False, False)),
        (
            'short prompts beside a queue of long ones',
            (50, 1100, 90),
            (True, True, True),
        ),
        ('a short prompt that comes too late', (950, 1100, 90), (False,) * 3),
        ('a prompt that takes too long', (50, 0, 2500), (False, False, False)),
        ('the time has passed', (1950, 0, 200), (False, False, False)),
    ],
)
def test_larger_model_while_engines_are_behind(
    pattern: str,
    prospect: tuple[float, float, float],
    asked_by_rank: tuple[bool, bool, bool],
) -> None:
    """Pattern: prompts of the largest model take more time than there is.

    Guards against late answers for all: on a heavy day three engines were left
    for 2.2 engine seconds a second of the largest model's prompts.
    """
    asked = tuple(
        model_escalation.should_escalate(
            model_escalation.EscalationTimes(*prospect), OBJECTIVE_MS, rank
        )
        for rank in range(3)
    )
    assert asked == asked_by_rank, pattern


def test_load_settles_below_the_objective() -> None:
    """Pattern: a queue that each call of the largest model makes longer.

    Guards against a backlog that grows without bound under overload.
    """
    backlog_ms = 0.0
    for _ in range(1000):
        prospect = model_escalation.EscalationTimes(50, backlog_ms, 500)
        if model_escalation.should_escalate(prospect, OBJECTIVE_MS, 0):
            backlog_ms += 500
        backlog_ms = max(0, backlog_ms - 200)
        assert backlog_ms <= OBJECTIVE_MS
