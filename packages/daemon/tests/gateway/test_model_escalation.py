"""Tests of which models are asked, and of escalation to larger ones."""

from __future__ import annotations

import pytest

from yuccarouter.gateway import model_escalation

OBJECTIVE_MS = 2000.0


@pytest.mark.parametrize(
    ('models', 'expected'),
    [
        (('only',), ('only',)),
        (('small', 'large'), ('small', 'large')),
        (('small', 'middle', 'large'), ('small', 'large')),
    ],
)
def test_smallest_then_largest(
    models: tuple[str, ...], expected: tuple[str, ...]
) -> None:
    """Guards against asking the middle model, which fails hard requests."""
    assert model_escalation.plan_for(models).models == expected


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
    """Guards against accepting doubtful answers, and rejecting the last one."""
    plan = model_escalation.plan_for(('small', 'large'))
    assert plan.accepts(step, confidence) is accepted


@pytest.mark.parametrize(
    ('case', 'times', 'escalates_by_priority'),
    [
        ('idle engines', (50, 0, 200), (True, True, True)),
        (
            'a short backlog: the lowest priority does not escalate',
            (50, 300, 200),
            (True, True, False),
        ),
        (
            'a longer backlog: only the highest priority escalates',
            (50, 900, 200),
            (True, False, False),
        ),
        ('a backlog above the limit', (50, 1100, 200), (False, False, False)),
        (
            'a short prompt behind a backlog of long ones',
            (50, 1100, 90),
            (True, True, True),
        ),
        ('a short prompt that would be late', (950, 1100, 90), (False,) * 3),
        (
            'a prompt whose prefill takes too long',
            (50, 0, 2500),
            (False, False, False),
        ),
        ('too little remaining time', (1950, 0, 200), (False, False, False)),
    ],
)
def test_escalation_by_backlog_and_priority(
    case: str,
    times: tuple[float, float, float],
    escalates_by_priority: tuple[bool, bool, bool],
) -> None:
    """Guards against late answers when engines can't prefill all prompts.

    On a day of heavy load, prompts of the largest model took 2.2 engine seconds
    per second and only three engines were left for them.
    """
    escalations = tuple(
        model_escalation.should_escalate(
            model_escalation.EscalationTimes(*times), OBJECTIVE_MS, priority
        )
        for priority in range(3)
    )
    assert escalations == escalates_by_priority, case


def test_backlog_stays_below_the_objective() -> None:
    """Guards against a backlog that grows without bound under overload.

    Each call to the largest model makes it longer.
    """
    backlog_ms = 0.0
    for _ in range(1000):
        times = model_escalation.EscalationTimes(50, backlog_ms, 500)
        if model_escalation.should_escalate(times, OBJECTIVE_MS, 0):
            backlog_ms += 500
        backlog_ms = max(0, backlog_ms - 200)
        assert backlog_ms <= OBJECTIVE_MS
