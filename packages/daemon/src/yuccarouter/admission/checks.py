"""Checks of a request against the configuration."""

from __future__ import annotations

from typing import Final

from yuccarouter.admission import ports
from yuccarouter_common import model, refusals
from yuccarouter_common.proto import router_pb2

_STALE_RETRY_MS: Final = 500
_OTHER_ENDPOINT_RETRY_MS: Final = 200


def check(
    configuration: model.Configuration,
    location: ports.EndpointLocation,
    request: router_pb2.RunRequest,
) -> None:
    """Raise ``RefusalError`` when the request must not run at the endpoint.

    The agent's own configuration applies, even when the entry's differs.
    """
    data_centre = configuration.data_centres.get(location.data_centre)
    if data_centre is not None and data_centre.state == model.OUT_OF_SERVICE:
        raise refusals.RefusalError(
            'shutting_down',
            f'data centre {location.data_centre} is out of service',
            retry_after_ms=_OTHER_ENDPOINT_RETRY_MS,
        )
    organisation = configuration.organisations.get(request.organisation)
    if organisation is None:
        raise _unknown(configuration, request, 'organisation is not known')
    if request.service:
        _check_service(configuration, location, organisation, request)
    else:
        _check_version(configuration, location, organisation, request)


def may_finish_late(
    configuration: model.Configuration, request: router_pb2.RunRequest
) -> bool:
    """Return whether a request of this kind may end after its deadline.

    Callers of such a kind prefer a late complete answer to none.
    """
    kind = configuration.kinds.get(request.kind)
    return kind is not None and kind.whole


def entry_position(request: router_pb2.RunRequest) -> model.Position:
    """Return the configuration position of the request's entry."""
    if not request.HasField('position'):
        return model.Position()
    return model.Position(request.position.generation, request.position.offset)


def _check_version(
    configuration: model.Configuration,
    location: ports.EndpointLocation,
    organisation: model.Organisation,
    request: router_pb2.RunRequest,
) -> None:
    name = f'{request.model}@{request.version}'
    version = configuration.versions.get(name)
    if version is None:
        raise _unknown(configuration, request, f'{name} is not known')
    if version.state == model.WITHDRAWN:
        raise _not_allowed(f'{name} is withdrawn')
    if name not in organisation.allowed:
        raise _not_allowed(f'{name} is not allowed for {organisation.name}')
    _check_pool(version.pool, location, name)


def _check_service(
    configuration: model.Configuration,
    location: ports.EndpointLocation,
    organisation: model.Organisation,
    request: router_pb2.RunRequest,
) -> None:
    service = configuration.services.get(request.service)
    if service is None:
        raise _unknown(configuration, request, 'service is not known')
    if service.name not in organisation.services:
        raise _not_allowed(
            f'{service.name} is not allowed for {organisation.name}'
        )
    _check_pool(service.pool, location, service.name)


def _check_pool(pool: str, location: ports.EndpointLocation, name: str) -> None:
    if pool != location.pool:
        raise refusals.RefusalError(
            'no_endpoint',
            f'{name} is served by pool {pool}, not by {location.pool}',
            retry_after_ms=_OTHER_ENDPOINT_RETRY_MS,
        )


def _unknown(
    configuration: model.Configuration,
    request: router_pb2.RunRequest,
    message: str,
) -> refusals.RefusalError:
    # An agent with an older configuration than the entry can't tell "not
    # allowed" from "not yet known". The entry then tries another agent, which
    # may have a newer configuration.
    if configuration.position < entry_position(request):
        return refusals.RefusalError(
            'configuration_stale', message, retry_after_ms=_STALE_RETRY_MS
        )
    return _not_allowed(message)


def _not_allowed(message: str) -> refusals.RefusalError:
    return refusals.RefusalError('version_not_allowed', message)
