"""Example mixes of requests, one for each user."""

from __future__ import annotations

import random
from typing import Final

import attrs
import orjson

_SESSIONS: Final = 50
# Share of chat requests that belong to one of the sessions.
_SESSION_SHARE: Final = 0.3
_WORDS: Final = tuple(
    'across down grid clue setter editor cylinder purge valve compressor '
    'yard label pressure handover degas record'.split()
)


@attrs.frozen
class ChatKind:
    """A kind of chat request.

    ``shared_words`` start the prompt of every request of the kind, so that
    engines can cache them; ``own_words`` follow.
    """

    name: str
    weight: float
    bound_ms: int
    stream: bool
    shared_words: int
    own_words: int


@attrs.frozen
class ServiceKind:
    """A kind of call of a plain service; ``path`` may hold ``{number}``."""

    name: str
    weight: float
    bound_ms: int
    method: str
    path: str


@attrs.frozen
class Mix:
    """Kinds of requests with their weights, and the model they ask for."""

    model: str
    kinds: tuple[ChatKind | ServiceKind, ...]


@attrs.frozen
class Request:
    """One request of a mix.

    ``prompt`` is empty for a plain service. ``key`` and ``session`` are empty
    when the request has none.
    """

    kind: str
    bound_ms: int
    method: str
    path: str
    body: bytes
    key: str = ''
    session: str = ''
    prompt: str = ''
    stream: bool = False


MIXES: Final[dict[str, Mix]] = {
    'ratselwerk': Mix(
        'clue',
        (
            ChatKind('grid-critique', 0.15, 30_000, True, 200, 120),
            ChatKind('wordplay-note', 0.35, 10_000, True, 80, 40),
            ChatKind('answer-verification', 0.4, 3000, False, 20, 10),
            ServiceKind(
                'payment', 0.05, 5000, 'POST', '/services/desk/payments'
            ),
            ServiceKind(
                'acceptance', 0.05, 5000, 'POST', '/services/desk/acceptances'
            ),
        ),
    ),
    'thanupp': Mix(
        'record',
        (
            ChatKind('service-history', 0.15, 60_000, True, 250, 200),
            ChatKind('recovery-note', 0.3, 15_000, True, 40, 30),
            ChatKind('label-check', 0.35, 5000, False, 20, 10),
            ServiceKind(
                'handover', 0.1, 5000, 'POST', '/services/ledger/handovers'
            ),
            ServiceKind(
                'certificate',
                0.1,
                5000,
                'GET',
                '/services/ledger/certificates/{number}',
            ),
        ),
    ),
}


def make_request(
    mix: Mix,
    model: str,
    run_id: str,
    number: int,
    draws: random.Random,
) -> Request:
    """Return the request with a number.

    Prompts and keys hold ``run_id`` and the number, so that no two requests
    share an answer.
    """
    weights = [kind.weight for kind in mix.kinds]
    kind = draws.choices(mix.kinds, weights)[0]
    if isinstance(kind, ServiceKind):
        return _service_request(kind, run_id, number)
    return _chat_request(kind, model, run_id, number, draws)


def _service_request(kind: ServiceKind, run_id: str, number: int) -> Request:
    is_post = kind.method == 'POST'
    return Request(
        kind=kind.name,
        bound_ms=kind.bound_ms,
        method=kind.method,
        path=kind.path.format(number=f'{run_id}-{number}'),
        body=orjson.dumps({'item': f'{run_id}-{number}'}) if is_post else b'',
        key=f'{run_id}-{number}' if is_post else '',
    )


def _chat_request(
    kind: ChatKind,
    model: str,
    run_id: str,
    number: int,
    draws: random.Random,
) -> Request:
    shared = (_WORDS[at % len(_WORDS)] for at in range(kind.shared_words))
    own = draws.choices(_WORDS, k=kind.own_words)
    prompt = ' '.join((kind.name, *shared, f'{run_id}-{number}', *own))
    session = ''
    if draws.random() < _SESSION_SHARE:
        session = f'{run_id}-session-{draws.randrange(_SESSIONS)}'
    document = {
        'model': model,
        'messages': [{'role': 'user', 'content': prompt}],
        'stream': kind.stream,
        # Streams state their usage only when they are asked for it.
        **({'stream_options': {'include_usage': True}} if kind.stream else {}),
    }
    return Request(
        kind=kind.name,
        bound_ms=kind.bound_ms,
        method='POST',
        path='/v1/chat/completions',
        body=orjson.dumps(document),
        session=session,
        prompt=prompt,
        stream=kind.stream,
    )
