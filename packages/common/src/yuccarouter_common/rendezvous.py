"""Rendezvous hashing: a stable choice that needs no agreement."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

_Member = TypeVar('_Member')


def ranked(
    name: str, members: Iterable[_Member], key: Callable[[_Member], str]
) -> list[_Member]:
    """Return the members by preference for ``name``, best first.

    ``key`` names a member. Members that come or go don't change the order of
    the others.
    """

    def weight(member: _Member) -> tuple[int, str]:
        named = key(member)
        return -xxhash.xxh3_64_intdigest(f'{name}/{named}'.encode()), named

    return sorted(members, key=weight)
