"""Formatting of answers as a table, JSON or YAML."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import attrs
import orjson
import tabulate
import yaml

FORMATS: Final = ('table', 'json', 'yaml')

Row = dict[str, Any]


@attrs.frozen
class Source:
    """Origin of data, with its configuration position and age."""

    according_to: str
    generation: int | None = None
    offset: int | None = None
    age_ms: int | None = None
    log_state: str = ''
    fault: str = ''


@attrs.frozen
class Answer:
    """Rows, notes about them and the sources of both."""

    rows: list[Row] = attrs.field(factory=list)
    notes: list[str] = attrs.field(factory=list)
    sources: list[Source] = attrs.field(factory=list)


def render(answer: Answer, output_format: str) -> str:
    """Return the text of an answer in one of ``FORMATS``."""
    return _RENDERERS[output_format](answer)


def _table(answer: Answer) -> str:
    parts: list[str] = []
    if answer.rows:
        formatted = [
            {name: _cell(cell) for name, cell in row.items()}
            for row in answer.rows
        ]
        parts.append(tabulate.tabulate(formatted, headers='keys'))
    parts.extend(answer.notes)
    parts.extend(map(_source_line, answer.sources))
    return '\n'.join(parts)


def _json(answer: Answer) -> str:
    options = orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS
    return orjson.dumps(attrs.asdict(answer), option=options).decode()


def _yaml(answer: Answer) -> str:
    # Converted through JSON, so that tuples and enumerations become plain
    # YAML.
    document = orjson.loads(_json(answer))
    return yaml.safe_dump(document, sort_keys=False, allow_unicode=True).strip()


def _cell(cell: Any) -> Any:
    if isinstance(cell, (list, tuple)):
        return ', '.join(map(str, cell))
    if isinstance(cell, dict):
        return orjson.dumps(cell).decode()
    return '' if cell is None else cell


def _source_line(source: Source) -> str:
    if source.fault:
        return f'according to {source.according_to}: {source.fault}'
    offset = _or_unknown(source.offset)
    generation = _or_unknown(source.generation)
    line = (
        f'according to {source.according_to}: offset {offset} '
        f'(generation {generation}), {_or_unknown(source.age_ms)} ms old'
    )
    return f'{line}, log {source.log_state}' if source.log_state else line


def _or_unknown(number: int | None) -> str:
    return 'unknown' if number is None else str(number)


_RENDERERS: Final[dict[str, Callable[[Answer], str]]] = {
    'table': _table,
    'json': _json,
    'yaml': _yaml,
}
