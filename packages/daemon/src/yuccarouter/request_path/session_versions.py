"""The model version that a session's requests run on."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.request_path import claims, errors
from yuccarouter.routing import errors as routing_errors
from yuccarouter.routing import sessions, version_selection
from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state, request_types
    from yuccarouter_common import model

_MAX_PINS: Final = 20_000


@attrs.define
class PinCache:
    """Cache of pinned versions of sessions with a caller-chosen id.

    A pin assigns a session to a version; once recorded, it never changes.
    """

    _pins: collections.OrderedDict[str, str] = attrs.field(
        factory=collections.OrderedDict
    )

    def find(self, key: str) -> str:
        """Return the pinned ``model@version``; empty if it is not cached."""
        return self._pins.get(key, '')

    def store(self, key: str, version: str) -> None:
        """Store a pin and evict the oldest one beyond the bound."""
        self._pins[key] = version
        if len(self._pins) > _MAX_PINS:
            self._pins.popitem(last=False)


async def version_for(
    shared: entry_state.EntryState,
    organisation: model.Organisation,
    session: sessions.Session,
    requested: str,
    progress: request_types.Progress,
) -> sessions.SessionVersion:
    """Return the version of a session; pin it if the session is new.

    Raises ``RoutingError``.
    """
    configuration = shared.store.current()
    if session.needs_pin:
        version = await _pinned_version(
            shared, organisation, session, requested, progress
        )
        session = attrs.evolve(session, version=version)
    session_version = sessions.resolve_version(
        configuration, organisation, session, requested
    )
    progress.explain(
        'session_version',
        version=session_version.version.name,
        moved=session_version.moved,
    )
    return session_version


async def _pinned_version(
    shared: entry_state.EntryState,
    organisation: model.Organisation,
    session: sessions.Session,
    requested: str,
    progress: request_types.Progress,
) -> str:
    key = claims.session_key(organisation.name, session.session_id)
    pinned = shared.pin_cache.find(key)
    if pinned:
        return pinned
    resolution = version_selection.resolve(
        shared.store.current(), organisation, requested, session.session_id
    )
    proposed_version = resolution.versions[-1].name
    claim_request = router_pb2.ClaimRequest(
        key=key,
        value=proposed_version,
    )
    try:
        reply = await claims.claim(shared, claim_request)
    except errors.RegistryUnavailableError:
        # While the log is down the configuration does not change, so every
        # entry proposes the same version until the pin can be written. The
        # session token in the answer keeps that version afterwards.
        progress.explain('session_not_pinned', version=proposed_version)
        return proposed_version
    if reply.state == 'expired' or not reply.value:
        raise routing_errors.RoutingError(
            'the session is older than the retention of the registry',
            code='log_unavailable',
        )
    shared.pin_cache.store(key, reply.value)
    return reply.value
