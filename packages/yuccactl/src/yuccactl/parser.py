"""Parsing of the operators' language into typed statements."""

from __future__ import annotations

import functools
import json
import re
from collections.abc import Callable
from importlib import resources
from typing import Any, Final

import lark
from lark import exceptions as lark_errors

from yuccactl import errors, statements

_NAME_TERMINALS: Final = frozenset(('WORD', 'STRING', 'VERSION'))
_VALUE_TERMINALS: Final = frozenset(('NUMBER', 'BOOLEAN'))
_END_TERMINAL: Final = '$END'
_INTEGER: Final = re.compile(r'-?\d+')
# Suffix of every keyword's pattern in the grammar.
_KEYWORD_END: Final = r'(?![\w.@:\/-])'


@functools.cache
def _grammar() -> lark.Lark:
    path = resources.files('yuccactl').joinpath('grammar.lark')
    # LALR with a contextual lexer: a keyword is only reserved where the
    # grammar allows it, so that names may be equal to keywords.
    return lark.Lark(path.read_text(), parser='lalr', lexer='contextual')


def parse(text: str) -> statements.Statement:
    """Parse ``text`` into a statement.

    Raises ``errors.UsageError`` that quotes the text from the first error on
    and lists what is allowed there.
    """
    try:
        tree = _grammar().parse(text)
    except lark_errors.UnexpectedInput as fault:
        raise errors.UsageError(_error_message(text, fault)) from fault
    try:
        statement: statements.Statement = _Builder().transform(tree)
    except lark_errors.VisitError as fault:
        raise errors.UsageError(str(fault.orig_exc)) from fault
    return statement


def next_words(text: str) -> list[str]:
    """Return the keywords that may follow ``text``.

    Names, values and the end of the statement are not included.
    """
    try:
        interactive = _grammar().parse_interactive(text)
        interactive.exhaust_lexer()
    except lark_errors.UnexpectedInput:
        return []
    words: list[str] = []
    accepted: set[str] = interactive.accepts()  # type: ignore[no-untyped-call]
    for terminal in accepted:
        words.extend(_keywords(terminal))
    return sorted(words)


class _Builder(lark.Transformer[lark.Token, statements.Statement]):
    """Builds a statement from a parse tree, bottom-up."""

    def __default__(self, data: Any, children: list[Any], meta: Any) -> Any:
        rule = str(data)
        parts = [part for part in children if not _is_keyword(part)]
        return _BUILDERS[rule](parts)


def _is_keyword(part: Any) -> bool:
    terminals = _NAME_TERMINALS | _VALUE_TERMINALS | {'THING'}
    if isinstance(part, lark.Token):
        return part.type not in terminals
    return part is None


def _name(parts: list[Any]) -> str:
    token = parts[0]
    if token.type == 'STRING':
        return _string(token)
    return str(token)


def _string(token: str) -> str:
    try:
        return str(json.loads(token))
    except ValueError as fault:
        raise errors.UsageError(f'{token} is not a valid string') from fault


def _value(parts: list[Any]) -> statements.Value:
    part = parts[0]
    if not isinstance(part, lark.Token):
        members: tuple[statements.Scalar, ...] = part
        return members
    if part.type == 'NUMBER':
        return int(part) if _INTEGER.fullmatch(part) else float(part)
    if part.type == 'BOOLEAN':
        return bool(part == 'true')
    return _name(parts)


def _values(parts: list[Any]) -> tuple[Any, ...]:
    return tuple(parts)


def _field(parts: list[Any]) -> statements.Field:
    return statements.Field(str(parts[0]), parts[1])


def _show(parts: list[Any]) -> statements.Show:
    return statements.Show(str(parts[0]), tuple(parts[1:]))


def _limit(parts: list[Any]) -> statements.Limit:
    name, number = parts
    if not number.isdecimal():
        raise errors.UsageError(
            f'a limit is a whole number, not negative: {number}'
        )
    return statements.Limit(name, int(number))


def _from_names(kind: Callable[..., Any]) -> Callable[[list[Any]], Any]:
    return lambda parts: kind(*map(str, parts))


def _with_fields(
    kind: Callable[..., Any],
    name_count: int,
) -> Callable[[list[Any]], Any]:
    return lambda parts: kind(
        *map(str, parts[:name_count]), fields=tuple(parts[name_count:])
    )


def _incomplete(form: str) -> Callable[[list[Any]], Any]:
    return lambda parts: statements.Incomplete(form, tuple(map(str, parts)))


_BUILDERS: Final[dict[str, Callable[[list[Any]], Any]]] = {
    'start': lambda parts: parts[0],
    'name': _name,
    'rollout_name': _name,
    'value': _value,
    'list': _values,
    'match': _field,
    'assignment': _field,
    'show': _show,
    'explain_request': _from_names(statements.ExplainRequest),
    'explain_endpoint': _from_names(statements.ExplainEndpoint),
    'why_not': _from_names(statements.WhyNot),
    'history': _from_names(statements.History),
    'create_organisation': _with_fields(statements.CreateOrganisation, 1),
    'change_organisation': _with_fields(statements.ChangeOrganisation, 1),
    'create_version': _with_fields(statements.CreateVersion, 2),
    'change_version': _with_fields(statements.ChangeVersion, 1),
    'allow': _from_names(statements.Allow),
    'disallow': _from_names(statements.Disallow),
    'roll_out': _from_names(statements.RollOut),
    'hold': _from_names(statements.Hold),
    'resume': _from_names(statements.Resume),
    'withdraw': _from_names(statements.Withdraw),
    'take_out': _from_names(statements.TakeOut),
    'bring_back': _from_names(statements.BringBack),
    'limit': _limit,
    'reconcile': lambda parts: statements.BillReconcile(),
    'repair_configuration': lambda parts: statements.RepairConfiguration(),
    'settings_check': _from_names(statements.SettingsCheck),
    'incomplete_explain': _incomplete('explain'),
    'incomplete_history': _incomplete('history of'),
    'incomplete_why_not': _incomplete('why not'),
    'incomplete_allow': _incomplete('allow'),
    'incomplete_disallow': _incomplete('disallow'),
    'incomplete_roll_out': _incomplete('roll out'),
    'incomplete_hold': _incomplete('hold'),
    'incomplete_resume': _incomplete('resume'),
    'incomplete_withdraw': _incomplete('withdraw'),
    'incomplete_take_out': _incomplete('take out'),
    'incomplete_bring_back': _incomplete('bring back'),
    'incomplete_limit': _incomplete('limit'),
}

# Descriptions of the terminals that are not keywords, for error messages.
_DESCRIPTIONS: Final[dict[str, str]] = {
    'WORD': 'a name',
    'STRING': 'a quoted string',
    'VERSION': 'MODEL@VERSION',
    'NUMBER': 'a number',
    'BOOLEAN': 'true or false',
    '_EQUALS': '"="',
    '_COMMA': '","',
    '_OPEN': '"["',
    '_CLOSE': '"]"',
    _END_TERMINAL: 'the end',
}


def _keywords(terminal: str) -> list[str]:
    if terminal in _DESCRIPTIONS:
        return []
    pattern = str(_grammar().get_terminal(terminal).pattern.value)
    return re.findall('[a-z_]+', pattern.removesuffix(_KEYWORD_END))


def _error_message(text: str, fault: lark_errors.UnexpectedInput) -> str:
    expected: set[str] = set()
    if isinstance(fault, lark_errors.UnexpectedCharacters):
        expected = fault.allowed
    elif isinstance(fault, lark_errors.UnexpectedToken):
        expected = fault.accepts or fault.expected
    words: list[str] = []
    for terminal in expected:
        words.extend(_keywords(terminal) or [_DESCRIPTIONS[terminal]])
    location = 'at the end'
    token = getattr(fault, 'token', None)
    if token is None or token.type != _END_TERMINAL:
        location = f'at "{text[fault.pos_in_stream :]}"'
    allowed = ', '.join(sorted(words))
    return f'not a statement: {location} expected one of: {allowed}'
