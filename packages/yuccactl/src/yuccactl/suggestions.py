"""Complete statements that match an incomplete text."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from yuccactl import errors, statements
from yuccarouter_common import model

_Suggest = Callable[
    [tuple[str, ...], model.Configuration], list[statements.Statement]
]


def error_for(
    incomplete: statements.Incomplete,
    configuration: model.Configuration,
) -> errors.AmbiguousError:
    """Return an error that lists every complete statement that matches."""
    candidates = _SUGGESTIONS[incomplete.form](incomplete.words, configuration)
    texts = [statements.text_of(candidate) for candidate in candidates]
    if not texts:
        return errors.AmbiguousError(
            f'"{statements.text_of(incomplete)}" matches nothing that exists'
        )
    listed = '\n  '.join(texts)
    return errors.AmbiguousError(
        f'the text leaves something open; these would do it:\n  {listed}'
    )


def _versions_of(
    name: str,
    configuration: model.Configuration,
) -> list[model.ModelVersion]:
    return [
        version
        for _, version in sorted(configuration.versions.items())
        if version.model == name and version.state != model.WITHDRAWN
    ]


def _explain(
    words: tuple[str, ...],
    configuration: model.Configuration,
) -> list[statements.Statement]:
    return [
        statements.ExplainRequest(words[0]),
        statements.ExplainEndpoint(words[0]),
    ]


def _for_versions(
    kind: Callable[..., statements.Statement],
) -> _Suggest:
    # The first word is a model's name; the others are passed on unchanged.
    return lambda words, configuration: [
        kind(version.name, *words[1:])
        for version in _versions_of(words[0], configuration)
    ]


def _roll_out(
    words: tuple[str, ...],
    configuration: model.Configuration,
) -> list[statements.Statement]:
    model_name, _, version_number = words[0].partition('@')
    versions = [
        version.name for version in _versions_of(model_name, configuration)
    ]
    targets = [words[0]] if version_number else versions
    return [
        statements.RollOut(version, baseline)
        for version in targets
        for baseline in versions
        if version != baseline
    ]


def _for_rollouts(
    kind: Callable[..., statements.Statement],
) -> _Suggest:
    return lambda words, configuration: [
        kind(name)
        for name, rollout in sorted(configuration.rollouts.items())
        if words[0] in {name, rollout.model, rollout.version}
    ]


def _for_name(
    kind: Callable[..., statements.Statement],
) -> _Suggest:
    return lambda words, configuration: [kind(words[0])]


def _limit(
    words: tuple[str, ...],
    configuration: model.Configuration,
) -> list[statements.Statement]:
    if not words[1].isdecimal():
        return []
    return [statements.Limit(words[0], int(words[1]))]


_SUGGESTIONS: Final[dict[str, _Suggest]] = {
    'explain': _explain,
    'history of': _for_versions(statements.History),
    'why not': _for_versions(statements.WhyNot),
    'allow': _for_versions(statements.Allow),
    'disallow': _for_versions(statements.Disallow),
    'withdraw': _for_versions(statements.Withdraw),
    'roll out': _roll_out,
    'hold': _for_rollouts(statements.Hold),
    'resume': _for_rollouts(statements.Resume),
    'take out': _for_name(statements.TakeOut),
    'bring back': _for_name(statements.BringBack),
    'limit': _limit,
}
