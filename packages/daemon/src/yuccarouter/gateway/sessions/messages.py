"""Datagrams between daemons about the versions of sessions.

They go to the port of the digests and differ from these by the field
``FIELD``. Daemons of an earlier release lack a digest's fields in them, log
``bad_digest`` and ignore them.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, Final

import attrs
import orjson

from yuccarouter.gateway import numbers
from yuccarouter.gateway.sessions import decisions

if TYPE_CHECKING:
    from collections.abc import Sequence

FIELD: Final = 'session_message'
# Reports of one datagram. With versions of 100 ASCII characters and times of
# six digits it takes 7,000 bytes, fewer than a digest may have.
MAX_REPORTS: Final = 50
# Lengths in characters. A key is a hash of 64 bits; versions are short names.
_MAX_KEY_LENGTH: Final = 16
_MAX_VERSION_LENGTH: Final = 100
_MAX_DAEMON_LENGTH: Final = 256
# Identifiers of questions; JSON parsers keep integers of this size.
QUESTION_BITS: Final = 48


class Kind(enum.StrEnum):
    """What a datagram is for."""

    REPORT = 'report'
    CORRECTION = 'correction'
    QUESTION = 'question'
    ANSWER = 'answer'


@attrs.frozen
class Report:
    """The version of a session's newest request, which is ``age_ms`` old.

    The session's first request on this version is ``held_ms`` old.
    """

    key: str
    version: str
    age_ms: float
    held_ms: float = 0


@attrs.frozen
class Reports:
    """Reports of one datagram.

    Malformed rows are left out; ``problem`` is what is wrong with the last one.
    ``is_correction`` is true for those of an owner to a daemon that has
    reported another version. They are not answered, so that two owners that
    disagree don't correct each other without end.
    """

    rows: tuple[Report, ...]
    is_correction: bool
    problem: str = ''


@attrs.frozen
class Question:
    """The question for a session's version."""

    number: int
    key: str


@attrs.frozen
class Reply:
    """The answer of the daemon ``owner`` to a question."""

    number: int
    owner: str
    answer: decisions.Answer


def encode_reports(
    reports: Sequence[Report], kind: Kind = Kind.REPORT
) -> bytes:
    """Return the datagram with ``reports``, at most ``MAX_REPORTS``.

    Those with a version that receivers reject as too long are left out.
    """
    rows = [
        [
            report.key,
            report.version,
            _whole(report.age_ms),
            _whole(report.held_ms),
        ]
        for report in reports
        if len(report.version) <= _MAX_VERSION_LENGTH
    ]
    return orjson.dumps({FIELD: kind, 'reports': rows})


def encode_question(question: Question) -> bytes:
    """Return the datagram with a question."""
    return orjson.dumps(
        {FIELD: Kind.QUESTION, 'number': question.number, 'key': question.key}
    )


def encode_reply(reply: Reply) -> bytes:
    """Return the datagram with an answer."""
    answer = reply.answer
    if len(answer.version or '') > _MAX_VERSION_LENGTH:
        # The session is known, so that it must not count as a new one.
        answer = decisions.Answer(None, 0, is_certain=False)
    return orjson.dumps(
        {
            FIELD: Kind.ANSWER,
            'number': reply.number,
            'owner': reply.owner,
            'version': answer.version,
            'age_ms': _whole(answer.age_ms),
            'is_certain': answer.is_certain,
            'held_ms': _whole(answer.held_ms),
        }
    )


def decode(message: dict[str, Any]) -> Reports | Question | Reply:
    """Return the contents of a datagram.

    Raises ``LookupError``, ``TypeError`` or ``ValueError`` if it is malformed.
    """
    kind = Kind(message[FIELD])
    if kind in {Kind.REPORT, Kind.CORRECTION}:
        rows = message['reports']
        if not isinstance(rows, list) or len(rows) > MAX_REPORTS:
            raise ValueError('not a list of reports, or too many')
        return _decode_reports(rows, kind)
    number = numbers.integer(message['number'])
    if kind is Kind.QUESTION:
        return Question(number, _text(message['key'], _MAX_KEY_LENGTH))
    version = message['version']
    if version is not None:
        version = _text(version, _MAX_VERSION_LENGTH)
    answer = decisions.Answer(
        version,
        numbers.number(message['age_ms']),
        is_certain=message['is_certain'] is True,
        held_ms=numbers.number(message.get('held_ms', 0)),
    )
    return Reply(number, _text(message['owner'], _MAX_DAEMON_LENGTH), answer)


def _decode_reports(rows: list[Any], kind: Kind) -> Reports:
    reports = []
    problem = ''
    for row in rows:
        try:
            reports.append(_decode_report(*row))
        except (TypeError, ValueError) as fault:
            problem = str(fault)
    return Reports(tuple(reports), kind is Kind.CORRECTION, problem)


def _decode_report(
    key: object, version: object, age_ms: object, held_ms: object = 0
) -> Report:
    return Report(
        _text(key, _MAX_KEY_LENGTH),
        _text(version, _MAX_VERSION_LENGTH),
        numbers.number(age_ms),
        numbers.number(held_ms),
    )


def _text(value: object, max_length: int) -> str:
    """Return a string of a message; raises ``TypeError`` or ``ValueError``."""
    if not isinstance(value, str):
        raise TypeError('not a string')
    if len(value) > max_length:
        raise ValueError(f'longer than {max_length} characters')
    return value


def _whole(age_ms: float) -> int:
    return max(0, round(age_ms))
