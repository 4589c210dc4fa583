"""Validates and returns single fields of untrusted documents."""

from __future__ import annotations

import re
import reprlib
import sys
from typing import TYPE_CHECKING, Any, Final, TypeVar

from yuccarouter.gateway import addresses, numbers
from yuccarouter_common import records

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter.gateway import model

_Value = TypeVar('_Value')
# The conversion of thousands of digits raises an error of its own.
_PORT: Final = re.compile('[0-9]{1,5}')


def document(text: bytes) -> dict[str, Any]:
    """Return a JSON object; raises ``ShapeError``."""
    parsed = records.loads(text)
    if not isinstance(parsed, dict):
        raise records.ShapeError('not a JSON object')
    return parsed


def field(
    source: dict[str, Any], name: str, kind: type[_Value] | tuple[type, ...]
) -> Any:
    """Return a field of the given type; raises ``ShapeError``."""
    value = source.get(name)
    if isinstance(value, bool) and kind is not bool:
        raise records.ShapeError(f'{name}: {value!r}')
    if not isinstance(value, kind):
        raise records.ShapeError(f'{name}: {value!r}')
    return value


def text(source: dict[str, Any], name: str) -> str:
    """Return a text field that is not empty; raises ``ShapeError``."""
    value = field(source, name, str)
    if not value:
        raise records.ShapeError(f'{name} is empty')
    return str(value)


def number(source: dict[str, Any], name: str) -> float:
    """Return a finite number from 0 up; raises ``ShapeError``."""
    value = field(source, name, (int, float))
    if not 0 <= value <= sys.float_info.max:
        raise records.ShapeError(f'{name}: {reprlib.repr(value)}')
    return float(value)


def bounded_number(
    source: dict[str, Any], name: str, most: float = numbers.MAX_NUMBER
) -> float:
    """Return a number from 0 to ``most``; raises ``ShapeError``."""
    try:
        return numbers.number(source.get(name), most)
    except ValueError as fault:
        raise records.ShapeError(f'{name}: {fault}') from fault


def integer(
    source: dict[str, Any], name: str, most: int = numbers.MAX_NUMBER
) -> int:
    """Return an integer from 0 to ``most``; raises ``ShapeError``."""
    try:
        return numbers.integer(source.get(name), most)
    except ValueError as fault:
        raise records.ShapeError(f'{name}: {fault}') from fault


def optional_number(source: dict[str, Any], name: str, default: float) -> float:
    """Return a number, or the default if the field is absent or null."""
    return default if source.get(name) is None else number(source, name)


def optional_flag(source: dict[str, Any], name: str) -> bool:
    """Return a boolean, ``False`` if the field is absent or null."""
    return (
        False if source.get(name) is None else bool(field(source, name, bool))
    )


def objects(source: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects, empty if the field is absent or null."""
    if source.get(name) is None:
        return []
    items = field(source, name, list)
    if not all(isinstance(item, dict) for item in items):
        raise records.ShapeError(f'{name}: not all items are objects')
    return list(items)


def optional_object(source: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an object, an empty one if the field is absent or null."""
    if source.get(name) is None:
        return {}
    return dict(field(source, name, dict))


def optional_texts(source: dict[str, Any], name: str) -> tuple[str, ...]:
    """Return items as texts, none if the field is absent or null."""
    if source.get(name) is None:
        return ()
    return tuple(str(item) for item in field(source, name, list))


def local_address(value: Any) -> model.Address:
    """Return the address ``IP:PORT`` to listen at; raises ``ShapeError``."""
    return _address(value, addresses.local)


def remote_address(value: Any) -> model.Address:
    """Return the address ``IP:PORT`` to connect to; raises ``ShapeError``."""
    return _address(value, addresses.remote)


def _address(
    value: Any, checked: Callable[[str, int], model.Address]
) -> model.Address:
    host, _, port = str(value).rpartition(':')
    if not _PORT.fullmatch(port):
        raise records.ShapeError(f'not an address: {reprlib.repr(value)}')
    try:
        return checked(host, int(port))
    except ValueError as fault:
        raise records.ShapeError(str(fault)) from fault
