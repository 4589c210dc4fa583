"""Rendezvous hashing: a stable choice without coordination."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

_Member = TypeVar('_Member')


def ranked(
    name: str, members: Iterable[_Member], key: Callable[[_Member], str]
) -> list[_Member]:
    """Return the members in order of preference for ``name``, best first.

    ``key`` returns a member's name. Adding or removing members does not change
    the order of the others.
    """

    def sort_key(member: _Member) -> tuple[int, str]:
        member_name = key(member)
        return (
            -xxhash.xxh3_64_intdigest(f'{name}/{member_name}'.encode()),
            member_name,
        )

    return sorted(members, key=sort_key)
