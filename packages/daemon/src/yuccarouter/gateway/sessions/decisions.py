"""Decides whether a session moves to the new version during a canary."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.gateway import routes

if TYPE_CHECKING:
    from collections.abc import Collection

# Time for all daemons to read an order and to report their sessions to the
# owners. No session moves to the new version before.
_SETTLING_MS: Final = 1000.0

# The longest wait for the owners' answers. A daemon answers within a few
# milliseconds; a request of the session waits meanwhile.
_ANSWER_TIMEOUT_MS: Final = 30.0
# Share of a request's remaining time: callers wait no longer for a decision.
_MAX_WAIT_SHARE: Final = 1 / 3


@attrs.frozen
class Draw:
    """The draw of the sessions that get ``target``, the new version.

    ``share`` is theirs among all sessions of the service. The order of the
    roll-out is ``order_age_ms`` old.
    """

    service: str
    target: str
    share: float
    order_age_ms: float = math.inf


@attrs.frozen
class Answer:
    """What an owner knows of a session.

    ``version`` is that of its newest request, ``age_ms`` ago; ``None`` if the
    owner knows none. The session's first request on this version was sent
    ``held_ms`` ago. ``is_certain`` is true if the owner has been up, and
    its list of daemons the same, for the time of a session: one that it does
    not know is then a new one.
    """

    version: str | None
    age_ms: float
    is_certain: bool
    held_ms: float = 0


def is_selected(draw: Draw, session: str) -> bool:
    """Return whether the draw gives the new version to a session.

    The draw depends on the session and the version, so that all daemons agree.
    """
    name = f'{draw.service}/{draw.target}/{session}'
    return routes.hash_fraction(name) < draw.share


def may_move(
    version: str | None,
    target: str,
    present: Collection[str],
    order_age_ms: float,
) -> bool:
    """Return whether a selected session may run on the new version.

    ``version`` is the session's, ``None`` if it is not in progress, and
    ``present`` are the versions of the service's endpoints.
    """
    if version is None:
        return order_age_ms >= _SETTLING_MS
    return version == target or version not in present


def needs_version(draw: Draw, session: str, present: Collection[str]) -> bool:
    """Return whether a session's version can change where a request runs.

    It can't before new sessions may move, nor without an endpoint to move to.
    """
    return (
        draw.order_age_ms >= _SETTLING_MS
        and draw.target in present
        and is_selected(draw, session)
    )


def answer_timeout_ms(remaining_ms: float) -> float:
    """Return the longest wait of a request with so much time for answers."""
    return min(_ANSWER_TIMEOUT_MS, max(0, remaining_ms) * _MAX_WAIT_SHARE)


def is_settled(answers: Collection[Answer], asked: int) -> bool:
    """Return whether the answers that are missing can't change the decision.

    A session that one owner does not know may be known to the other, if the
    report to the first one was lost.
    """
    return len(answers) >= asked or any(
        answer.version is not None for answer in answers
    )


def is_answered(answers: Collection[Answer]) -> bool:
    """Return whether the answers show a session's version, or a new session."""
    return any(
        answer.version is not None or answer.is_certain for answer in answers
    )


def version_to_keep(
    answers: Collection[Answer], target: str, present: Collection[str]
) -> Answer | None:
    """Return the answer with the version to stay on.

    ``None`` means that the session is new, or that no other version than the
    new one has an endpoint. Without an answer, the session may be in progress
    and stays on the old version. If owners know different versions, the one
    that was recorded first is kept, as ``SessionVersions.merge`` does.
    """
    known = [answer for answer in answers if answer.version is not None]
    if known:
        return max(known, key=lambda each: (each.held_ms, -each.age_ms))
    old = sorted(set(present) - {target})
    if is_answered(answers) or not old:
        return None
    return Answer(old[0], 0, is_certain=False)
