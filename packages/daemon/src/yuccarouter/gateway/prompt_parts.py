"""Identifiers of the prompt parts that several requests may share."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from yuccarouter.gateway import model

# Callers choose the names. Long or unusual ones are hashed, to bound messages
# and logs.
_PLAIN_NAME: Final = re.compile('[0-9A-Za-z_-]{1,16}')


def shared_part_ids(call: model.Call) -> tuple[str, ...]:
    """Return the ids of the shared parts of a prompt, without duplicates.

    The last part belongs to the request or its session alone.
    """
    if call.generation is None:
        return ()
    shared = call.generation.parts[:-1]
    return tuple(dict.fromkeys(_part_id(part.name) for part in shared))


def _part_id(name: str) -> str:
    if _PLAIN_NAME.fullmatch(name):
        return name
    return xxhash.xxh3_64_hexdigest(name.encode('utf-8', 'surrogateescape'))
