"""What the configuration allows at this endpoint."""

from __future__ import annotations

from typing import Final

from yuccarouter.admission import ports
from yuccarouter_common import model, refusals
from yuccarouter_common.proto import router_pb2

_STALE_RETRY_MS: Final = 500
_ELSEWHERE_RETRY_MS: Final = 200


def check(
    configuration: model.Configuration,
    place: ports.EndpointLocation,
    request: router_pb2.RunRequest,
) -> None:
    """Raise ``RefusalError`` when the request must not run here.

    The agent's own view decides, also when the entry's view differs.
    """
    centre = configuration.data_centres.get(place.data_centre)
    if centre is not None and centre.state == model.OUT_OF_SERVICE:
        raise refusals.RefusalError(
            'shutting_down',
            f'data centre {place.data_centre} is out of service',
            retry_after_ms=_ELSEWHERE_RETRY_MS,
        )
    organisation = configuration.organisations.get(request.organisation)
    if organisation is None:
        raise _unknown(configuration, request, 'organisation is not known')
    if request.service:
        _check_service(configuration, place, organisation, request)
    else:
        _check_version(configuration, place, organisation, request)


def is_whole(
    configuration: model.Configuration, request: router_pb2.RunRequest
) -> bool:
    """Return whether a late complete answer beats none for this kind."""
    kind = configuration.kinds.get(request.kind)
    return kind is not None and kind.whole


def position_of(request: router_pb2.RunRequest) -> model.Position:
    """Return the entry's configuration position."""
    if not request.HasField('position'):
        return model.Position()
    return model.Position(request.position.generation, request.position.offset)


def _check_version(
    configuration: model.Configuration,
    place: ports.EndpointLocation,
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
    _check_pool(version.pool, place, name)


def _check_service(
    configuration: model.Configuration,
    place: ports.EndpointLocation,
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
    _check_pool(service.pool, place, service.name)


def _check_pool(pool: str, place: ports.EndpointLocation, name: str) -> None:
    if pool != place.pool:
        raise refusals.RefusalError(
            'no_endpoint',
            f'{name} is served by pool {pool}, not by {place.pool}',
            retry_after_ms=_ELSEWHERE_RETRY_MS,
        )


def _unknown(
    configuration: model.Configuration,
    request: router_pb2.RunRequest,
    message: str,
) -> refusals.RefusalError:
    # An agent that could not catch up can't tell "not allowed" from "not yet
    # known"; the entry then tries an agent with a newer view.
    if configuration.position < position_of(request):
        return refusals.RefusalError(
            'configuration_stale', message, retry_after_ms=_STALE_RETRY_MS
        )
    return _not_allowed(message)


def _not_allowed(message: str) -> refusals.RefusalError:
    return refusals.RefusalError('version_not_allowed', message)
