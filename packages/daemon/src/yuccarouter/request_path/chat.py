"""Validation of the body of a chat completion request."""

from __future__ import annotations

from typing import Any, Final

import attrs
import orjson

from yuccarouter_common import refusals

_MAX_MESSAGES: Final = 4096
_MAX_NAME_CHARS: Final = 200

# Fields of the API that are forwarded to the engine unchecked. A field that is
# neither here nor among the checked ones is refused.
_FORWARDED_FIELDS: Final = frozenset(
    (
        'audio', 'frequency_penalty', 'function_call', 'functions',
        'logit_bias', 'logprobs', 'metadata', 'modalities', 'n',
        'parallel_tool_calls', 'prediction', 'presence_penalty',
        'prompt_cache_key', 'reasoning_effort', 'response_format',
        'safety_identifier', 'seed', 'service_tier', 'stop', 'store',
        'stream_options', 'temperature', 'tool_choice', 'tools',
        'top_logprobs', 'top_p', 'user', 'verbosity', 'web_search_options',
    )
)  # fmt: skip
_CHECKED_FIELDS: Final = frozenset(
    ('model', 'messages', 'stream', 'max_tokens', 'max_completion_tokens')
)
_ROLES: Final = frozenset(
    ('system', 'developer', 'user', 'assistant', 'tool', 'function')
)


class BadFieldError(refusals.RefusalError):
    """A field of the body is invalid; ``param`` is its path."""

    def __init__(self, param: str, expected: str) -> None:
        super().__init__('invalid_request', f'{param}: {expected}')
        self.param = param


@attrs.frozen
class ChatRequest:
    """A valid chat completion request; ``prompt`` joins its messages."""

    model: str
    is_stream: bool
    prompt: str


def parse(body: bytes) -> ChatRequest:
    """Return the validated request of a JSON body.

    Raises ``BadFieldError`` for the first invalid field that is found.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as malformed:
        raise BadFieldError('body', f'expected JSON in UTF-8: {malformed}')
    if not isinstance(document, dict):
        raise BadFieldError('body', 'expected an object')
    unknown = sorted(document.keys() - _FORWARDED_FIELDS - _CHECKED_FIELDS)
    if unknown:
        raise BadFieldError(unknown[0][:_MAX_NAME_CHARS], 'unknown field')
    if document.get('n') not in {None, 1}:
        raise BadFieldError('n', 'expected 1: one answer for each request')
    for name in ('max_tokens', 'max_completion_tokens'):
        _check_token_limit(document, name)
    return ChatRequest(
        model=_model_name(document),
        is_stream=_boolean(document, 'stream'),
        prompt=_prompt(document.get('messages')),
    )


def _check_token_limit(document: dict[str, Any], name: str) -> None:
    limit = document.get(name)
    if limit is None:
        return
    if isinstance(limit, bool) or not isinstance(limit, int) or limit < 1:
        raise BadFieldError(name, 'expected a whole number above 0')


def _model_name(document: dict[str, Any]) -> str:
    name = document.get('model')
    if not isinstance(name, str) or not 0 < len(name) <= _MAX_NAME_CHARS:
        raise BadFieldError('model', 'expected the name of a model')
    return name


def _boolean(document: dict[str, Any], name: str) -> bool:
    boolean = document.get(name)
    if boolean is None:
        return False
    if not isinstance(boolean, bool):
        raise BadFieldError(name, 'expected true or false')
    return boolean


def _prompt(messages: Any) -> str:
    if not isinstance(messages, list) or not messages:
        raise BadFieldError('messages', 'expected a list of messages')
    if len(messages) > _MAX_MESSAGES:
        raise BadFieldError('messages', f'expected at most {_MAX_MESSAGES}')
    return '\n'.join(
        _message_text(message, f'messages[{index}]')
        for index, message in enumerate(messages)
    )


def _message_text(message: Any, path: str) -> str:
    if not isinstance(message, dict):
        raise BadFieldError(path, 'expected an object')
    if message.get('role') not in _ROLES:
        raise BadFieldError(f'{path}.role', 'expected a role')
    content = message.get('content')
    if content is None or isinstance(content, str):
        return content or ''
    if not isinstance(content, list):
        raise BadFieldError(f'{path}.content', 'expected a text or a list')
    return ''.join(
        part['text']
        for part in content
        if isinstance(part, dict) and isinstance(part.get('text'), str)
    )
