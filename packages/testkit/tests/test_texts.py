"""Tests of the emulator's answers and of the check of an answer."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from yuccarouter_testkit.stand_ins import texts

_SETTINGS = hypothesis.settings(deadline=None, derandomize=True)
_QUALITY = strategies.floats(0, 1)


@_SETTINGS
@hypothesis.given(
    prompt=strategies.text(), quality=_QUALITY, cut=strategies.floats(0, 1)
)
def test_resume(prompt: str, quality: float, cut: float) -> None:
    """Guards against a gap or a repetition where an answer is continued."""
    tokens = texts.answer_tokens(prompt, 'm@1', quality)
    whole = ''.join(tokens)
    so_far = whole[: round(cut * len(whole))]
    rest = texts.remaining_tokens(tokens, so_far)
    assert so_far + ''.join(rest) == whole
    assert '' not in rest


@_SETTINGS
@hypothesis.given(
    prompt=strategies.text(), quality=_QUALITY, data=strategies.data()
)
def test_damage_is_found(
    prompt: str, quality: float, data: strategies.DataObject
) -> None:
    """Guards against a check that passes a damaged or a foreign answer."""
    tokens = texts.answer_tokens(prompt, 'm@1', quality)
    whole = ''.join(tokens)
    assert texts.is_complete(whole, prompt, 'm@1')
    index = data.draw(strategies.integers(0, len(tokens) - 1))
    gap = ''.join(tokens[:index] + tokens[index + 1 :])
    repeated = ''.join(tokens[: index + 1] + tokens[index:])
    for damaged in (gap, repeated, ''.join(tokens[:index]), f'{whole} '):
        assert not texts.is_complete(damaged, prompt, 'm@1')
    assert not texts.is_complete(whole, f'{prompt}.', 'm@1')
    assert not texts.is_complete(whole, prompt, 'm@2')


@pytest.mark.parametrize('quality', [0, 0.3, 0.8, 1])
def test_score(quality: float) -> None:
    """Guards against ratings that do not follow a version's quality."""
    scores = [
        texts.score(''.join(texts.answer_tokens(str(number), 'm@1', quality)))
        for number in range(200)
    ]
    assert sum(scores) / len(scores) == pytest.approx(quality, abs=0.03)


@pytest.mark.parametrize('resume_text', ['x', ' ', 'answer-0 x'])
def test_foreign_resume(resume_text: str) -> None:
    """Guards against continuing a text that is not this answer's."""
    tokens = texts.answer_tokens('p', 'm@1')
    with pytest.raises(ValueError):
        texts.remaining_tokens(tokens, resume_text)
