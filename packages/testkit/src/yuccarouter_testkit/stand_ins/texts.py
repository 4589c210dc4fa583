"""Deterministic answers of the engine emulator, and how to check them.

An answer is a list of words. The first identifies prompt and version and the
last is a checksum of all the text before it, so that a reader can detect
an answer that is truncated, has a gap or a repetition, or belongs to another
request.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Final

import xxhash

_GOOD_WORDS: Final = tuple(
    'anagram charade hidden reversal double homophone container surface '
    'definition indicator fodder literal clear sound fair exact'.split()
)
_POOR_WORDS: Final = tuple(
    'perhaps unsure guess maybe vague unclear wrong missing'.split()
)
_MIN_WORDS: Final = 16
_EXTRA_WORDS: Final = 48
_MILLION: Final = 1_000_000
# Prompt prefixes are hashed at multiples of this size.
PREFIX_BLOCK_BYTES: Final = 256


def prompt_text(messages: Sequence[Any]) -> str:
    """Return the text of chat messages, joined by newlines.

    Raises ``ValueError`` for messages that are not in the OpenAI form.
    """
    return '\n'.join(_content_text(message) for message in messages)


def _content_text(message: Any) -> str:
    if not isinstance(message, dict):
        raise ValueError('a message must be an object')
    content = message.get('content')
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return ''.join(str(part.get('text', '')) for part in content)
    raise ValueError('the content of a message must be text or parts')


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text; a token is a word."""
    return len(text.split())


def prefix_hashes(text: str) -> list[int]:
    """Return the xxh64 hashes of the cacheable prefixes.

    Prefixes end at multiples of ``PREFIX_BLOCK_BYTES`` in the UTF-8 encoding.
    """
    encoded = text.encode()
    sizes = range(PREFIX_BLOCK_BYTES, len(encoded) + 1, PREFIX_BLOCK_BYTES)
    return [xxhash.xxh64_intdigest(encoded[:size]) for size in sizes]


def answer_tokens(
    prompt: str,
    version: str,
    quality: float = 1.0,
) -> list[str]:
    """Return the tokens of a version's answer to a prompt.

    ``version`` is a ``model@version`` name. ``quality`` is the expected share
    of good words.
    """
    seed = xxhash.xxh64_intdigest(f'{version}\n{prompt}'.encode())
    body_size = _MIN_WORDS + seed % _EXTRA_WORDS
    words = [_identity(prompt, version)]
    words.extend(_word(seed, index, quality) for index in range(body_size))
    text = ' '.join(words)
    words.append(_checksum(text))
    return [words[0], *(f' {word}' for word in words[1:])]


def remaining_tokens(tokens: Sequence[str], resume_text: str) -> list[str]:
    """Return the tokens after ``resume_text``.

    If ``resume_text`` ends within a token, the rest of that token comes first.
    Raises ``ValueError`` when the answer does not start with ``resume_text``.
    """
    if not ''.join(tokens).startswith(resume_text):
        raise ValueError('resume_text is not the start of the answer')
    offset = len(resume_text)
    for index, token in enumerate(tokens):
        if offset < len(token):
            return [token[offset:], *tokens[index + 1 :]]
        offset -= len(token)
    return []


def is_complete(text: str, prompt: str, version: str) -> bool:
    """Return whether ``text`` is the complete answer to the prompt.

    The result does not depend on the quality of the version.
    """
    body, _, last = text.rpartition(' ')
    first = body.partition(' ')[0]
    return first == _identity(prompt, version) and last == _checksum(body)


def score(text: str) -> float:
    """Return the share of good words in an answer, 0 for no words."""
    words = text.split()
    good = sum(word in _GOOD_WORDS for word in words)
    poor = sum(word in _POOR_WORDS for word in words)
    return good / (good + poor) if good + poor else 0


def _identity(prompt: str, version: str) -> str:
    source = f'identity\n{version}\n{prompt}'
    digest = xxhash.xxh64_hexdigest(source.encode())
    return f'answer-{digest}'


def _checksum(text: str) -> str:
    return f'end-{xxhash.xxh64_hexdigest(text.encode())}'


def _word(seed: int, index: int, quality: float) -> str:
    draw = xxhash.xxh64_intdigest(f'{seed}/{index}'.encode())
    is_good = draw % _MILLION < quality * _MILLION
    words = _GOOD_WORDS if is_good else _POOR_WORDS
    return words[draw // _MILLION % len(words)]
