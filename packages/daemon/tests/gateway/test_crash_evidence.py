"""Tests of the evidence that daemons exchange about crashing prompts."""

from __future__ import annotations

import random
from typing import Any

import attrs
import orjson
import pytest

from yuccarouter.gateway import crash_evidence, crash_suspicions

SERVICE = 'engine'
HOLD_MS = 20_000
# Prompts are tried again by a single daemon at first.
TRIAL_MS = 10_000
BYTES_PER_MESSAGE = 2500


def evidence_of(
    name: str = 'd1', others: tuple[str, ...] = ()
) -> crash_evidence.CrashEvidence:
    return crash_evidence.CrashEvidence(name, lambda: others, lambda service: 9)


def attempt(
    number: int, suspects: str = 'x', crashed_ms: float | None = None
) -> crash_suspicions.CrashedAttempt:
    """Return an attempt of a request of its own, at an engine of its own."""
    at_ms = 1000.0 * number if crashed_ms is None else crashed_ms
    return crash_suspicions.CrashedAttempt(
        request=number,
        number=1,
        engine=f'e{number}/1',
        service=SERVICE,
        sent_ms=at_ms - 100,
        crashed_ms=at_ms,
        suspects=frozenset(suspects.split()),
        answered=frozenset(),
        changed_ms=at_ms,
    )


def record(
    evidence: crash_evidence.CrashEvidence, *suspects: str
) -> crash_evidence.CrashEvidence:
    for number, names in enumerate(suspects, start=1):
        evidence.record_crash(attempt(number, names), 1000.0 * number)
    return evidence


def test_prompts_with_a_suspected_part_are_held() -> None:
    """Guards against prompts with other own parts that crash engines again."""
    evidence = record(evidence_of(), 'sys x', 'sys x', 'sys x')
    evidence.record_answer(SERVICE, ('sys', 'y'), 3100)
    assert not evidence.may_send(SERVICE, ('sys', 'x'), 3200)
    assert evidence.hold(SERVICE, ('sys', 'x'), 3200) == crash_evidence.Hold(
        HOLD_MS - 200, is_request=False
    )
    assert evidence.may_send(SERVICE, ('sys', 'y'), 3200)
    assert evidence.may_send('other', ('sys', 'x'), 3200)


def test_an_answer_releases_the_prompts() -> None:
    """Guards against sound prompts that are held after an answer to one."""
    evidence = record(evidence_of(), 'x', 'x', 'x')
    evidence.record_answer(SERVICE, ('x',), 3100)
    assert evidence.may_send(SERVICE, ('x',), 3200)
    assert evidence.hold(SERVICE, ('x',), 3200) is None


def test_a_held_prompt_is_tried_again_once() -> None:
    """Guards against parts that are held for ever, and against many tries."""
    names = ('d1', 'd2', 'd3')
    daemons = [
        record(
            evidence_of(name, tuple(each for each in names if each != name)),
            *('x' for _ in range(3)),
        )
        for name in names
    ]
    due_ms = 3000 + HOLD_MS
    assert not any(
        each.may_send(SERVICE, ('x',), due_ms - 1) for each in daemons
    )
    tries = [
        each.may_send(SERVICE, ('x',), due_ms + step)
        for step in range(0, TRIAL_MS, 100)
        for each in daemons
    ]
    assert sum(tries) == 1


@pytest.mark.parametrize('seed', range(20))
def test_daemons_agree_in_any_order_of_messages(seed: int) -> None:
    """Guards against parts that one daemon holds and another releases."""
    rng = random.Random(seed)
    daemons = [evidence_of(f'd{index}') for index in range(3)]
    suspects = ['x', 'x y', 'z x', 'x', 'y', 'x y']
    rng.shuffle(suspects)
    for number, names in enumerate(suspects, start=1):
        rng.choice(daemons).record_crash(attempt(number, names), 1000 * number)
    rng.choice(daemons).record_answer(SERVICE, ('y',), 7500)
    for _ in range(8):
        for receiver in daemons:
            sender = rng.choice(daemons)
            message = orjson.loads(orjson.dumps(sender.message(8000)))
            receiver.merge(message, 8000)
    for sender in daemons:
        for receiver in daemons:
            receiver.merge(sender.message(8000), 8000)
    held = [
        [each.hold(SERVICE, (part,), 8100) for part in 'xyz']
        for each in daemons
    ]
    assert held[0] == held[1] == held[2]
    assert held[0][0] is not None
    assert held[0][1] is None


def test_memory_and_messages_are_bounded() -> None:
    """Guards against growth and lost digests under many different prompts."""
    evidence = evidence_of()
    for number in range(2000):
        names = ' '.join(f'{number:010x}{each:02d}' for each in range(20))
        evidence.record_crash(attempt(number, names), 1000.0 * number)
        evidence.record_answer(
            SERVICE, [f'a{number}-{each}' for each in range(9)], 0
        )
    assert len(evidence._attempts) <= 64
    assert len(evidence._answered._parts_ms) <= 2048
    assert len(evidence._answered._requests_ms) <= 2048
    message = orjson.dumps(evidence.message(2_000_000))
    assert len(message) <= BYTES_PER_MESSAGE


@pytest.mark.parametrize(
    'message',
    [
        None,
        5,
        [5],
        [[]],
        [[[1], ['e', 's'], [1, 1], [[], []]]],
        [[[1, 2], ['e', 's'], [1, 'x'], [[], []]]],
        [[[1, 2], ['e', 's'], [1, -1], [[], []]]],
        [[[1, 2], ['e', 's'], [1, 2**60], [[], []]]],
        [[[1, 2], ['e', 5], [1, 1], [[], []]]],
        [[[1, 2], ['e', 's'], [1, 1], [['x' * 500], []]]],
        [[[1, 2], ['e', 's'], [1, 1], [[5], []]]],
        [[[1, 2], ['e', 's'], [1, 1], [[]]]],
    ],
)
def test_malformed_messages(message: Any) -> None:
    """Guards against a malformed message of a peer that ends the daemon."""
    evidence = evidence_of()
    with pytest.raises((TypeError, ValueError)):
        evidence.merge(message, 1000)
    assert evidence.message(1000) == []


@pytest.mark.parametrize(
    ('closed_ms', 'engine', 'is_held'),
    [(2900, 'e3/1', True), (1900, 'e3/1', False), (2900, 'e9/1', False)],
    ids=['just before', 'long before', 'another engine'],
)
def test_engine_crashes_after_an_answer_was_dropped(
    closed_ms: float, engine: str, is_held: bool
) -> None:
    """Guards against crashes that no evidence explains.

    A daemon closes the connection of an answer when it asks a larger model, and
    the engine crashes a moment later. Only a peer sees the crash.
    """
    evidence = record(evidence_of(), 'x', 'x')
    dropped = attrs.evolve(attempt(9, 'x', crashed_ms=closed_ms), engine=engine)
    evidence.dropped.record(dropped)
    evidence.record_crash(attempt(3, 'other'), 3000)
    assert (evidence.hold(SERVICE, ('x',), 3100) is not None) is is_held


@pytest.mark.parametrize(
    ('ran_ms', 'field'),
    [(0, 'crashes'), (499, 'crashes'), (500, 'late_crashes')],
)
def test_messages_during_an_update(ran_ms: float, field: str) -> None:
    """Guards against digests that daemons of an earlier version refuse.

    They expect four fields of each attempt in ``crashes``.
    """
    evidence = evidence_of()
    evidence.record_crash(attrs.evolve(attempt(1), ran_ms=ran_ms), 1000)
    fields = crash_evidence.digest_fields(evidence.message(1000))
    assert [name for name, sent in fields.items() if sent] == [field]
    assert all(len(each) == 4 for each in fields['crashes'])
    for sent in fields['late_crashes']:
        assert crash_evidence.decode_attempt(sent, 1000).ran_ms == ran_ms


def test_cleared_attempts_are_forgotten() -> None:
    """Guards against cleared attempts that daemons send each other for ever.

    They would fill the messages, in which newer evidence then has no room.
    """
    sender, receiver = evidence_of('d1'), evidence_of('d2')
    sender.record_crash(attempt(1), 1000)
    sender.record_answer(SERVICE, ('x',), 1100)
    message = sender.message(1200)
    assert message
    receiver.merge(message, 1200)
    assert receiver.message(1200) == []


def test_late_message_about_a_cleared_attempt() -> None:
    """Guards against a suspicion that returns with a peer's older message."""
    daemon, late = evidence_of('d1'), evidence_of('d2')
    for evidence in (daemon, late):
        record(evidence, 'x', 'x', 'x')
    daemon.record_answer(SERVICE, ('x',), 3100)
    daemon.message(20_000)
    daemon.merge(late.message(20_000), 20_000)
    assert daemon.hold(SERVICE, ('x',), 20_000) is None
    late.merge(daemon.message(20_000), 20_000)
    assert late.hold(SERVICE, ('x',), 20_000) is None
