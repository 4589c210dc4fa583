"""Settings file of the operators' program."""

from __future__ import annotations

import pathlib
from typing import Any

import attrs
import cattrs
import yaml

from yuccactl import errors
from yuccarouter_common import settings as daemon_settings


@attrs.frozen
class Settings:
    """Addresses of the log and the daemons, and the author of orders.

    ``daemons`` are base URLs of admin ports. ``operator_key`` is sent to the
    daemons as a bearer token and never printed.
    """

    log_url: str
    daemons: list[str] = attrs.field(factory=list)
    author: str = ''
    operator_key: str = attrs.field(default='', repr=False)
    registry_partitions: int = daemon_settings.REGISTRY_PARTITIONS


_converter = cattrs.Converter(forbid_extra_keys=True)


def load(path: str) -> Settings:
    """Read a YAML settings file.

    Raises ``errors.UsageError`` when it can't be read or is not valid.
    """
    return parse(_read(path), path)


def is_of_daemon(path: str) -> bool:
    """Return whether a file holds the settings of a daemon.

    Raises ``errors.UsageError`` when it can't be read.
    """
    document = _read(path)
    return isinstance(document, dict) and 'role' in document


def load_of_daemon(path: str) -> daemon_settings.Settings:
    """Read the settings of a daemon, checked as the daemon checks them.

    Raises ``errors.UsageError`` that lists every fault.
    """
    try:
        return daemon_settings.load(path)
    except daemon_settings.SettingsError as faults:
        raise errors.UsageError(faults.message) from faults


def _read(path: str) -> Any:
    try:
        return yaml.safe_load(pathlib.Path(path).read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as unreadable:
        raise errors.UsageError(f'{path} can not be read: {unreadable}')
    except yaml.YAMLError as malformed:
        raise errors.UsageError(f'{path} is not YAML: {malformed}')


def parse(document: Any, path: str) -> Settings:
    """Return the settings that a parsed YAML document holds.

    Raises ``errors.UsageError`` that names the first wrong field.
    """
    if not isinstance(document, dict):
        raise errors.UsageError(f'{path} holds no mapping')
    _check_types(document, path)
    try:
        settings = _converter.structure(document, Settings)
    except cattrs.BaseValidationError as fault:
        problems = '; '.join(cattrs.transform_error(fault))
        raise errors.UsageError(f'{path}: {problems}') from fault
    for url in (settings.log_url, *settings.daemons):
        if not url.startswith(('http://', 'https://')):
            raise errors.UsageError(f'{path}: {url!r} is not an HTTP URL')
    return settings


def _check_types(document: dict[str, Any], path: str) -> None:
    for name, kind in _FIELD_TYPES.items():
        if name in document and not isinstance(document[name], kind):
            raise errors.UsageError(f'{path}: {name} must be a {kind.__name__}')


# Checked before structuring, because cattrs silently converts between these
# types.
_FIELD_TYPES = {
    'log_url': str,
    'daemons': list,
    'author': str,
    'operator_key': str,
    'registry_partitions': int,
}
