"""Checks of the answers that a caller gets."""

from __future__ import annotations

import enum
from typing import Any, Final

import attrs
import orjson

from yuccarouter_testkit import mixes
from yuccarouter_testkit.stand_ins import texts

_HTTP_ERROR: Final = 400
_RETRY_STATUSES: Final = frozenset((429, 503))
_OUTCOMES: Final = frozenset(('not_run', 'unknown'))
_PREFIX: Final = b'data: '
_DONE: Final = b'[DONE]'


class Outcome(enum.StrEnum):
    """What became of a request.

    ``lost`` is a connection that broke or an answer that did not come within
    the limit; ``not_sent`` a request beyond the limit of open ones.
    """

    COMPLETE = 'complete'
    REJECTED = 'rejected'
    WRONG = 'wrong'
    LOST = 'lost'
    NOT_SENT = 'not_sent'


@attrs.frozen
class Verdict:
    """An outcome and its reason: a rejection's code or what is wrong."""

    outcome: Outcome
    reason: str = ''


@attrs.define
class Answer:
    """What came back; ``lines`` are those of an event stream."""

    status: int
    headers: dict[str, str]
    body: bytes = b''
    lines: list[bytes] = attrs.field(factory=list)

    @property
    def served_version(self) -> str:
        """The version that the answer states, or nothing."""
        return self.headers.get('x-served-version', '')


def check(request: mixes.Request, answer: Answer) -> Verdict:
    """Return whether an answer is complete, the request's own and truthful.

    Names of headers in ``answer`` are in lower case.
    """
    try:
        if answer.status >= _HTTP_ERROR:
            return _check_rejection(answer)
        if request.prompt:
            reason = _chat_fault(request, answer)
        else:
            reason = _service_fault(request, answer)
    except (ValueError, TypeError, KeyError, IndexError) as bad:
        return Verdict(Outcome.WRONG, f'malformed answer: {bad!r}')
    if reason:
        return Verdict(Outcome.WRONG, reason)
    return Verdict(Outcome.COMPLETE)


def _check_rejection(answer: Answer) -> Verdict:
    error = orjson.loads(answer.body)['error']
    code = str(error['code'])
    if error['outcome'] not in _OUTCOMES:
        return Verdict(Outcome.WRONG, 'rejection without an outcome')
    retries = answer.status in _RETRY_STATUSES
    if retries and 'retry-after' not in answer.headers:
        return Verdict(Outcome.WRONG, 'rejection without Retry-After')
    return Verdict(Outcome.REJECTED, code)


def _chat_fault(request: mixes.Request, answer: Answer) -> str:
    version = answer.served_version
    if not version:
        return 'no version stated'
    if request.stream:
        if not answer.lines or answer.lines[-1] != _PREFIX + _DONE:
            return 'stream without its end'
        text, usage = _read_events(answer.lines)
    else:
        document = orjson.loads(answer.body)
        text = document['choices'][0]['message']['content']
        usage = document['usage']
    if not usage:
        return 'no usage stated'
    if not texts.is_complete(text, request.prompt, version):
        return 'not the whole answer to this prompt by the stated version'
    return ''


def _read_events(lines: list[bytes]) -> tuple[str, Any]:
    parts: list[str] = []
    usage = None
    for line in lines[:-1]:
        chunk = orjson.loads(line.removeprefix(_PREFIX))
        usage = chunk.get('usage') or usage
        for choice in chunk['choices']:
            parts.append(choice['delta'].get('content') or '')
    return ''.join(parts), usage


def is_token(line: bytes) -> bool:
    """Return whether a line of an event stream carries text."""
    if not line.startswith(_PREFIX) or line == _PREFIX + _DONE:
        return False
    choices = orjson.loads(line.removeprefix(_PREFIX)).get('choices')
    return bool(choices and choices[0]['delta'].get('content'))


def _service_fault(request: mixes.Request, answer: Answer) -> str:
    document = orjson.loads(answer.body)
    if request.method == 'GET':
        number = request.path.rpartition('/')[2]
        is_own = document['certificate'] == number
    else:
        is_own = document['echo'] == orjson.loads(request.body)
    return '' if is_own else 'the answer to another request'
