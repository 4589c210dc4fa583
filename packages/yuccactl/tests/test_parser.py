"""Tests of the operators' language."""

from __future__ import annotations

import pathlib

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from yuccactl import errors, parser, statements

_WORDS = strategies.from_regex('[A-Za-z0-9_][A-Za-z0-9_.:/-]*', fullmatch=True)
_NAMES = _WORDS | strategies.text(
    strategies.characters(exclude_categories=['Cs']), min_size=0
)
_VERSIONS = strategies.builds('{0}@{1}'.format, _WORDS, _WORDS)
_SCALARS = (
    _NAMES
    | _VERSIONS
    | strategies.sampled_from(['true', 'and', '1', '-2.5', 'in', '1e5'])
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
)
_FIELDS = strategies.builds(
    statements.Field,
    _WORDS,
    _SCALARS | strategies.lists(_SCALARS, max_size=3).map(tuple),
)
_THINGS = strategies.sampled_from(
    ['organisations', 'versions', 'endpoints', 'bill', 'alerts']
)


def _statement(kind: type) -> strategies.SearchStrategy[statements.Statement]:
    by_field = {
        'thing': _THINGS,
        'version': _VERSIONS,
        'baseline': _VERSIONS,
        'rollout': _NAMES | _VERSIONS,
        'max_concurrent': strategies.integers(min_value=0),
    }
    min_size = 1 if kind.__name__.startswith('Change') else 0
    fields = strategies.lists(_FIELDS, min_size=min_size, max_size=3).map(tuple)
    return strategies.builds(
        kind,
        **{
            field.name: fields
            if field.name in {'fields', 'where'}
            else by_field.get(field.name, _NAMES)
            for field in attrs.fields(kind)
        },
    )


_KINDS = [
    kind
    for kind in statements.Statement.__args__
    if kind is not statements.Incomplete
]


@hypothesis.settings(deadline=None, max_examples=400)
@hypothesis.given(strategies.sampled_from(_KINDS).flatmap(_statement))
def test_round_trip(statement: statements.Statement) -> None:
    """Guards against text of a statement that parses to another one.

    Error messages suggest such text to the operator.
    """
    assert parser.parse(statements.text_of(statement)) == statement


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (
            'show endpoints where data_centre = "muenchen" and state = cold',
            statements.Show(
                'endpoints',
                (
                    statements.Field('data_centre', 'muenchen'),
                    statements.Field('state', 'cold'),
                ),
            ),
        ),
        ('show alerts', statements.Show('alerts')),
        ('explain request r-1', statements.ExplainRequest('r-1')),
        (
            'explain endpoint 10.0.0.1:80',
            statements.ExplainEndpoint('10.0.0.1:80'),
        ),
        ('why not c@2 for "a b"', statements.WhyNot('c@2', 'a b')),
        ('history of c@2', statements.History('c@2')),
        (
            'create organisation o with weight = 2.5, services=[desk]',
            statements.CreateOrganisation(
                'o',
                (
                    statements.Field('weight', 2.5),
                    statements.Field('services', ('desk',)),
                ),
            ),
        ),
        ('create version c@2 in pool p', statements.CreateVersion('c@2', 'p')),
        (
            'change version c@2 with prompt_price_microcents = 3',
            statements.ChangeVersion(
                'c@2', (statements.Field('prompt_price_microcents', 3),)
            ),
        ),
        ('allow c@2 for o', statements.Allow('c@2', 'o')),
        ('disallow c@2 for o', statements.Disallow('c@2', 'o')),
        ('roll out c@2 over c@1', statements.RollOut('c@2', 'c@1')),
        ('hold rollout c@2', statements.Hold('c@2')),
        ('resume rollout c@2', statements.Resume('c@2')),
        ('withdraw c@2', statements.Withdraw('c@2')),
        ('take out data_centre kochi', statements.TakeOut('kochi')),
        ('bring back data_centre kochi', statements.BringBack('kochi')),
        ('limit o to 5 concurrent', statements.Limit('o', 5)),
        ('bill reconcile', statements.BillReconcile()),
        ('repair configuration', statements.RepairConfiguration()),
        ('settings check s.yaml', statements.SettingsCheck('s.yaml')),
        ('take out kochi', statements.Incomplete('take out', ('kochi',))),
        ('limit o to 5', statements.Incomplete('limit', ('o', '5'))),
    ],
)
def test_statement(text: str, expected: statements.Statement) -> None:
    """Guards against documented text that parses to another statement."""
    assert parser.parse(text) == expected


@pytest.mark.parametrize(
    ('text', 'message'),
    [
        ('', 'at the end expected one of: allow, bill'),
        ('show', 'at the end expected one of: alerts'),
        ('show endpointsx', 'at "endpointsx" expected one of: alerts'),
        ('show endpoints where', 'at the end expected one of: a name'),
        ('withdraw c@2 now', 'at "now" expected one of: the end'),
        ('limit o to -1 concurrent', 'not negative: -1'),
        ('limit o to 1.5 concurrent', 'whole number'),
        ('create organisation o with a = "\\q"', 'not a valid string'),
        ('create organisation o with a = "x', 'expected one of'),
        ('change organisation o', 'at the end expected one of: with'),
        ('create version c in pool p', 'expected one of: MODEL@VERSION'),
    ],
)
def test_refusal(text: str, message: str) -> None:
    """Guards against accepting a syntax error, or not saying where it is."""
    with pytest.raises(errors.UsageError) as caught:
        parser.parse(text)
    assert message in caught.value.message


@pytest.mark.parametrize(
    ('text', 'words'),
    [
        ('take ', ['out']),
        ('take out ', ['data_centre']),
        ('allow c@2 ', ['for']),
        ('nonsense ', []),
    ],
)
def test_next_words(text: str, words: list[str]) -> None:
    """Guards against completions that the grammar does not allow."""
    assert parser.next_words(text) == words


def test_documented_examples() -> None:
    """Guards against documented statements that do not parse.

    Each kind of statement has an example.
    """
    page = pathlib.Path(__file__).parents[3] / 'docs' / 'operations.md'
    prompt = '    yuccactl> '
    examples = [
        line.removeprefix(prompt)
        for line in page.read_text().splitlines()
        if line.startswith(prompt)
    ]
    documented = {type(parser.parse(example)) for example in examples}
    assert documented == set(_KINDS)
