"""Settings of the daemon, read from YAML, with all faults reported."""

from __future__ import annotations

import ipaddress
import pathlib
import typing
from typing import Any, Final

import attrs
import cattrs
import yaml
from cattrs import v as cattrs_errors

from yuccarouter_common import errors

# Values of ``Settings.role``.
ENTRY: Final = 'entry'
AGENT: Final = 'agent'
# Default of the daemons and of yuccactl, which must use the same number.
REGISTRY_PARTITIONS: Final = 8

_MAX_PORT: Final = 65535
_MIN_SECRET_LENGTH: Final = 16

# Example values by field name, shown with a fault.
_EXAMPLES: Final[dict[str, str]] = {
    'host': '10.0.0.7',
    'port': '8080',
    'role': ENTRY,
    'name': 'entry-1',
    'vm': 'vm-17',
    'data_centre': 'muenchen',
    'region': 'bayern',
    'log_url': 'http://10.0.0.2:7000',
    'vms_url': 'http://10.0.0.2:7001',
    'ratings_url': 'http://10.0.0.2:7002',
    'weights_url': 'http://10.0.0.2:7003',
    'session_key': 'a random text of at least 16 characters',
    'peer_key': 'a random text of at least 16 characters',
    'operator_key': 'a random text of at least 16 characters',
    'peers': '["10.0.0.8:9000"]',
    'pool': 'clue-checkers',
    'url': 'http://10.0.0.9:8000',
}


@attrs.frozen
class Fault:
    """One fault of a settings file.

    ``path`` is the JSON path of the value, such as ``$.peer.port``.
    """

    file: str
    path: str
    expected: str
    example: str = ''

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        line = f'{self.file}: {self.path}: {self.expected}'
        return f'{line} (example: {self.example})' if self.example else line


class SettingsError(errors.RouterError):
    """A settings file is invalid; ``faults`` lists every fault."""

    code = 'bad_settings'

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__('\n'.join(str(fault) for fault in faults))
        self.faults = faults


def _check_ip(instance: Any, attribute: Any, value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError as fault:
        raise ValueError('expected an IP address') from fault


def _check_port(instance: Any, attribute: Any, value: int) -> None:
    if not 0 <= value <= _MAX_PORT:
        raise ValueError(f'expected a port from 0 to {_MAX_PORT}')


def _check_secret(instance: Any, attribute: Any, value: str) -> None:
    if len(value) < _MIN_SECRET_LENGTH:
        raise ValueError(f'expected at least {_MIN_SECRET_LENGTH} characters')


def _check_url(instance: Any, attribute: Any, value: str) -> None:
    if not value.startswith(('http://', 'https://')):
        raise ValueError('expected an http or https URL')


def _check_positive(instance: Any, attribute: Any, value: float) -> None:
    if value <= 0:
        raise ValueError('expected a number above 0')


def _check_role(instance: Any, attribute: Any, value: str) -> None:
    if value not in {ENTRY, AGENT}:
        raise ValueError('expected entry or agent')


@attrs.frozen
class Address:
    """An IP address and port to listen on."""

    host: str = attrs.field(validator=_check_ip)
    port: int = attrs.field(validator=_check_port)

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@attrs.frozen
class Platform:
    """URLs of the platform's services."""

    log_url: str = attrs.field(validator=_check_url)
    vms_url: str = attrs.field(validator=_check_url)
    ratings_url: str = attrs.field(validator=_check_url)
    weights_url: str = attrs.field(validator=_check_url)


@attrs.frozen
class Secrets:
    """Keys, which must never appear in logs, metrics, traces or errors."""

    session_key: str = attrs.field(validator=_check_secret, repr=False)
    peer_key: str = attrs.field(validator=_check_secret, repr=False)
    operator_key: str = attrs.field(validator=_check_secret, repr=False)


@attrs.frozen
class Endpoint:
    """The endpoint beside an agent."""

    name: str
    pool: str
    url: str = attrs.field(validator=_check_url)


@attrs.frozen
class Limits:
    """Limits on requests and on what a process keeps in memory.

    ``requests`` is the number of requests in progress, ``held_answers_bytes``
    the memory for answers that an entry keeps for repeated requests.
    """

    body_bytes: int = attrs.field(default=4_194_304, validator=_check_positive)
    header_bytes: int = attrs.field(default=16_384, validator=_check_positive)
    body_timeout_ms: int = attrs.field(
        default=10_000, validator=_check_positive
    )
    requests: int = attrs.field(default=4096, validator=_check_positive)
    held_answers_bytes: int = attrs.field(
        default=8_388_608, validator=_check_positive
    )


@attrs.frozen
class Timing:
    """Intervals and time limits."""

    drain_delay_ms: int = attrs.field(default=1000, validator=_check_positive)
    drain_limit_ms: int = attrs.field(default=60_000, validator=_check_positive)
    report_interval_ms: int = attrs.field(
        default=250, validator=_check_positive
    )
    vm_list_interval_ms: int = attrs.field(
        default=2000, validator=_check_positive
    )
    exchange_interval_ms: int = attrs.field(
        default=1000, validator=_check_positive
    )
    bill_interval_ms: int = attrs.field(default=200, validator=_check_positive)
    # An agent writes the bill row itself if the entry has not settled by then.
    cover_after_ms: int = attrs.field(default=10_000, validator=_check_positive)
    claim_timeout_ms: int = attrs.field(default=2000, validator=_check_positive)
    claim_window_ms: int = attrs.field(
        default=3_600_000, validator=_check_positive
    )
    claim_interval_ms: int = attrs.field(default=20, validator=_check_positive)
    rating_timeout_ms: int = attrs.field(default=150, validator=_check_positive)


@attrs.frozen
class Settings:
    """Settings of one daemon.

    ``listen`` is the address for callers (entry only), ``peer`` the gRPC
    address, ``admin`` the address for health, metrics and status. ``peers``
    are gRPC addresses that are tried when the VM list can't be read.
    """

    role: str = attrs.field(validator=_check_role)
    name: str
    vm: str
    data_centre: str
    peer: Address
    admin: Address
    platform: Platform
    secrets: Secrets
    region: str = ''
    listen: Address | None = None
    endpoint: Endpoint | None = None
    peers: tuple[str, ...] = ()
    registry_partitions: int = attrs.field(
        default=REGISTRY_PARTITIONS, validator=_check_positive
    )
    limits: Limits = Limits()
    timing: Timing = Timing()


_converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)


def _strict(value_type: type[Any]) -> Any:
    """Return a structure hook that accepts only values of ``value_type``."""

    def structure(value: Any, _: Any) -> Any:
        if type(value) is not value_type:  # noqa: WPS516
            raise ValueError(f'expected {value_type.__name__}')
        return value

    return structure


_converter.register_structure_hook(str, _strict(str))
_converter.register_structure_hook(int, _strict(int))


def _string_list(value: Any, _: Any) -> tuple[str, ...]:
    # cattrs would accept a string, because it is a sequence of strings.
    if not isinstance(value, list):
        raise ValueError('expected a list of strings')
    if not all(isinstance(item, str) for item in value):
        raise ValueError('expected a list of strings')
    return tuple(value)


_converter.register_structure_hook_func(
    lambda field_type: field_type == tuple[str, ...], _string_list
)


def load(path: str) -> Settings:
    """Read and check a settings file.

    Raises ``SettingsError`` with every fault in the file.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as unreadable:
        raise SettingsError(
            [Fault(path, '$', f'expected a readable file: {unreadable}')]
        ) from unreadable
    return parse(text, path)


def parse(text: str, file: str = 'settings') -> Settings:
    """Parse and check the text of a settings file.

    ``file`` names the file in faults. Raises ``SettingsError`` with every
    fault in the text.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as malformed:
        raise SettingsError(
            [Fault(file, '$', f'expected YAML: {_one_line(malformed)}')]
        ) from malformed
    if not isinstance(document, dict):
        raise SettingsError(
            [Fault(file, '$', 'expected a mapping', 'role: entry')]
        )
    faults = _value_faults(document, Settings, '$', file)
    settings = None
    # _value_faults has already validated the values and reports every fault;
    # here the first invalid value would hide the others of the same object.
    with attrs.validators.disabled():
        try:
            settings = _converter.structure(document, Settings)
        except cattrs.BaseValidationError as invalid:
            faults = _structure_faults(invalid, file) + faults
    if settings is not None:
        faults = faults + _role_faults(settings, file)
    if settings is None or faults:
        raise SettingsError(faults)
    return settings


def _value_faults(
    document: dict[str, Any], attrs_class: type[Any], path: str, file: str
) -> list[Fault]:
    """Return the faults of all values that a validator rejects."""
    faults = []
    for field in attrs.fields(attrs.resolve_types(attrs_class)):
        if field.name not in document:
            continue
        value = document[field.name]
        field_path = f'{path}.{field.name}'
        nested_class = _nested_class(field.type)
        if nested_class is not None and isinstance(value, dict):
            faults += _value_faults(value, nested_class, field_path, file)
        elif field.validator is not None:
            faults += _run_validator(field, value, field_path, file)
    return faults


def _nested_class(field_type: Any) -> type[Any] | None:
    """Return the attrs class in a field's type, such as in ``Address | None``.

    Returns ``None`` for a field of simple values.
    """
    for option in (field_type, *typing.get_args(field_type)):
        if isinstance(option, type) and attrs.has(option):
            return option
    return None


def _run_validator(
    field: attrs.Attribute[Any], value: Any, path: str, file: str
) -> list[Fault]:
    if field.validator is None:
        return []
    try:
        field.validator(None, field, value)
    except ValueError as invalid:
        return [Fault(file, path, str(invalid), _EXAMPLES.get(field.name, ''))]
    except (TypeError, AttributeError):
        # A value of the wrong type is reported by _structure_faults.
        return []
    return []


def _role_faults(settings: Settings, file: str) -> list[Fault]:
    if settings.role == ENTRY and settings.listen is None:
        return [
            Fault(
                file,
                '$.listen',
                'expected an address, since role is entry',
                '{host: 10.0.0.7, port: 8080}',
            )
        ]
    if settings.role == AGENT and settings.endpoint is None:
        return [
            Fault(
                file,
                '$.endpoint',
                'expected an endpoint, since role is agent',
                '{name: clue-1, pool: clue-checkers, url: http://10.0.0.9:80}',
            )
        ]
    return []


def _structure_faults(
    invalid: cattrs.BaseValidationError, file: str
) -> list[Fault]:
    lines = cattrs.transform_error(invalid, format_exception=_expected_text)
    faults = []
    for line in lines:
        expected, _, path = line.rpartition(' @ ')
        field = path.rpartition('.')[2]
        faults.append(Fault(file, path, expected, _EXAMPLES.get(field, '')))
    return faults


def _expected_text(
    fault: BaseException, expected_type: type[Any] | None
) -> str:
    if isinstance(fault, KeyError):
        return 'required field is missing'
    if isinstance(fault, cattrs.ForbiddenExtraKeysError):
        names = ', '.join(sorted(map(str, fault.extra_fields)))
        return f'unknown field: {names}'
    if isinstance(fault, ValueError):
        return str(fault)
    return cattrs_errors.format_exception(fault, expected_type)


def _one_line(fault: Exception) -> str:
    return ' '.join(str(fault).split())
