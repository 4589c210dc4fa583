"""The version that a request of a session runs on."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.request_path import claims, errors
from yuccarouter.routing import errors as routing_errors
from yuccarouter.routing import sessions, version_selection
from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state, plan
    from yuccarouter_common import model

_MAX_KNOWN: Final = 20_000


@attrs.define
class PinCache:
    """Pins of caller-chosen session ids; they never change once made."""

    _pins: collections.OrderedDict[str, str] = attrs.field(
        factory=collections.OrderedDict
    )

    def find(self, key: str) -> str:
        """Return the pinned ``model@version``, empty if it isn't known."""
        return self._pins.get(key, '')

    def keep(self, key: str, version: str) -> None:
        """Remember a pin and forget the oldest beyond the bound."""
        self._pins[key] = version
        if len(self._pins) > _MAX_KNOWN:
            self._pins.popitem(last=False)


async def version_for(
    shared: entry_state.EntryState,
    organisation: model.Organisation,
    session: sessions.Session,
    requested: str,
    progress: plan.Progress,
) -> sessions.SessionVersion:
    """Return the version for a session's request, pinning it if it is new.

    Raises ``RoutingError``.
    """
    configuration = shared.store.current()
    if session.needs_pin:
        version = await _pinned(
            shared, organisation, session, requested, progress
        )
        session = attrs.evolve(session, version=version)
    found = sessions.resolve_version(
        configuration, organisation, session, requested
    )
    progress.explain(
        'session_version',
        version=found.version.name,
        moved=found.moved,
    )
    return found


async def _pinned(
    shared: entry_state.EntryState,
    organisation: model.Organisation,
    session: sessions.Session,
    requested: str,
    progress: plan.Progress,
) -> str:
    key = claims.session_key(organisation.name, session.session_id)
    known = shared.pin_cache.find(key)
    if known:
        return known
    resolution = version_selection.resolve(
        shared.store.current(), organisation, requested, session.session_id
    )
    proposed = resolution.versions[-1].name
    request = router_pb2.ClaimRequest(
        key=key,
        value=proposed,
    )
    try:
        reply = await claims.claim(shared, request)
    except errors.RegistryUnavailableError:
        # Without the log no configuration changes, so every entry proposes
        # this version until the pin can be written; the answer's token keeps
        # it from then on.
        progress.explain('session_not_pinned', version=proposed)
        return proposed
    if reply.state == 'expired' or not reply.value:
        raise routing_errors.RoutingError(
            'the session is older than the registry keeps',
            code='log_unavailable',
        )
    shared.pin_cache.keep(key, reply.value)
    return reply.value
