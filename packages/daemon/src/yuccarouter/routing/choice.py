"""Choice of an endpoint for one attempt, with each candidate's score."""

from __future__ import annotations

import math
from typing import Final

import attrs

from yuccarouter.routing import _members, errors, views
from yuccarouter_common import model

# Sampled candidates by distance. If a tier has too few endpoints, the next one
# supplies the rest.
_LOCAL_SAMPLES: Final = 4
_REGION_SAMPLES: Final = 2
_REMOTE_SAMPLES: Final = 1

# One-way latency between data centres of one region and between regions.
_REGION_LATENCY_MS: Final = 1.0
_REMOTE_LATENCY_MS: Final = 30.0
# Extra wait that is accepted to avoid an endpoint in a cold start.
_COLD_PENALTY_MS: Final = 200.0
# Share of the requests with an idle cold candidate that go to it. An entry with
# 13 requests/s and 116 endpoints sends each of them one in about 20 s, and the
# 57 entries of a data centre together about three per second.
_WARM_UP_SHARE: Final = 0.1
# An endpoint with a lower load is idle: as a report ages, the estimated load
# moves towards the pool's mean and is above 0 even without requests.
_IDLE_LOAD: Final = 0.5
# Extra wait that is accepted to avoid an endpoint at which every recent request
# has failed.
_FAILURE_PENALTY_MS: Final = 1000.0
# Replaces a service time or time to first token that is not reported yet.
_DEFAULT_TIME_MS: Final = 50.0

# Number of prefixes looked up for one request, from the longest.
_MAX_PREFIXES: Final = 4
# Assumed share of the prompt in the cache of the session's last endpoint.
_SESSION_CACHED_SHARE: Final = 0.8

# Retry hint when no endpoint is in backoff.
_DEFAULT_RETRY_AFTER_MS: Final = 1000
# Bounds of the time until the next backoff ends, used as a retry hint. That
# endpoint may be of another pool.
_MIN_RETRY_AFTER_MS: Final = 100
_MAX_RETRY_AFTER_MS: Final = 2000

_DEFAULT_WEIGHTS: Final = model.Weights()


@attrs.frozen
class Request:
    """Inputs of the choice for one attempt.

    ``version`` is a ``model@version`` name and empty for a plain service.
    ``prefixes`` are hashes of the prompt's prefixes, longest first.
    ``data_centre`` is the entry's own. ``excluded`` holds the endpoints of
    earlier attempts of the request.
    """

    pool: str
    version: str
    data_centre: str
    session_endpoint: str = ''
    prefixes: tuple[int, ...] = ()
    excluded: frozenset[str] = frozenset()


@attrs.frozen
class Candidate:
    """A candidate endpoint and the terms of its score in weighted ms.

    ``load`` is the estimated number of requests at the endpoint, from a report
    that is ``report_age_ms`` old and from the entry's own requests.
    """

    endpoint: str
    source: str
    load: float
    report_age_ms: float
    wait: float
    distance: float
    cold: float
    cache: float
    exposure: float
    is_full_cold: bool
    is_idle_cold: bool = False

    @property
    def score(self) -> float:
        """Sum of the terms; a lower score is better."""
        return (
            self.wait + self.distance + self.cold + self.cache + self.exposure
        )


@attrs.frozen
class Choice:
    """The chosen endpoint and all candidates, the chosen one first."""

    view: views.EndpointView
    candidates: tuple[Candidate, ...]

    @property
    def endpoint(self) -> str:
        """Name of the chosen endpoint."""
        return self.view.endpoint


def choose(
    fleet: views.Fleet,
    request: Request,
    configuration: model.Configuration,
    now_ms: float,
    rng: _members.Rng,
) -> Choice:
    """Return the best endpoint for an attempt among sampled candidates.

    Raises ``RoutingError`` with the code ``no_endpoint`` when no routable
    endpoint of the version is in a data centre that is in service. To prevent
    many requests from herding to an endpoint with an old report, candidates
    are sampled at random, and a cached prefix counts only below the
    endpoint's limit.
    """
    pool = configuration.pools.get(request.pool)
    weights = _DEFAULT_WEIGHTS if pool is None else pool.weights
    sampled = _sample_candidates(fleet, request, configuration, rng)
    region = _region(configuration, request.data_centre)
    candidates = []
    for endpoint, (source, cached_share) in sampled.items():
        view = fleet.find(endpoint)
        if view is None:
            continue
        distance_ms = _distance_ms(configuration, request, view, region)
        candidates.append(
            _score(
                fleet, view, weights, source, cached_share, distance_ms, now_ms
            )
        )
    if not candidates:
        raise _no_endpoint(fleet, request)
    candidates.sort(key=_sort_key)
    _promote_idle_cold(candidates, rng)
    chosen = fleet.find(candidates[0].endpoint)
    if chosen is None:
        raise _no_endpoint(fleet, request)
    return Choice(view=chosen, candidates=tuple(candidates))


def _promote_idle_cold(candidates: list[Candidate], rng: _members.Rng) -> None:
    """Move an idle cold candidate to the front for a share of requests.

    An engine warms up only by serving. Otherwise, while warm endpoints have
    free capacity, the cold-start penalty would keep all requests away from a
    data centre that has returned to service. It would still be cold when its
    capacity is needed.
    """
    for index, candidate in enumerate(candidates):
        if candidate.is_idle_cold:
            if index and rng() < _WARM_UP_SHARE:
                candidates.insert(0, candidates.pop(index))
            return


def _sort_key(candidate: Candidate) -> tuple[bool, float]:
    return candidate.is_full_cold, candidate.score


def _no_endpoint(fleet: views.Fleet, request: Request) -> errors.RoutingError:
    hint_ms = math.ceil(fleet.retry_after_ms()) or _DEFAULT_RETRY_AFTER_MS
    hint_ms = min(_MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, hint_ms))
    return errors.RoutingError(
        f'no endpoint of pool {request.pool!r} can run {request.version!r}',
        code='no_endpoint',
        retry_after_ms=hint_ms,
    )


def _sample_candidates(
    fleet: views.Fleet,
    request: Request,
    configuration: model.Configuration,
    rng: _members.Rng,
) -> dict[str, tuple[str, float]]:
    """Return each candidate's source and cached share of the prompt."""
    candidates: dict[str, tuple[str, float]] = {}
    group = (request.pool, request.version)
    in_service = [
        name
        for name in fleet.index.data_centres(group)
        if _is_in_service(configuration, name)
    ]
    missing = 0
    for source, count, names in _tiers(configuration, request, in_service):
        missing += count
        sampled = fleet.sample(group, names, missing, request.excluded, rng)
        missing -= len(sampled)
        candidates.update(dict.fromkeys(sampled, (source, 0)))
    holder, cached_share = _prefix_holder(fleet, request, rng)
    if _is_candidate(fleet, request, holder, in_service):
        candidates[holder] = ('prefix', cached_share)
    session = request.session_endpoint
    if _is_candidate(fleet, request, session, in_service):
        prefix_share = candidates[session][1] if session in candidates else 0
        candidates[session] = (
            'session',
            max(prefix_share, _SESSION_CACHED_SHARE),
        )
    return candidates


def _tiers(
    configuration: model.Configuration,
    request: Request,
    in_service: list[str],
) -> list[tuple[str, int, list[str]]]:
    region = _region(configuration, request.data_centre)
    local, same_region, remote = [], [], []
    for name in in_service:
        if name == request.data_centre:
            local.append(name)
        elif _region(configuration, name) == region:
            same_region.append(name)
        else:
            remote.append(name)
    return [
        ('local', _LOCAL_SAMPLES, local),
        ('region', _REGION_SAMPLES, same_region),
        ('remote', _REMOTE_SAMPLES, remote),
    ]


def _prefix_holder(
    fleet: views.Fleet, request: Request, rng: _members.Rng
) -> tuple[str, float]:
    prefixes = request.prefixes
    for index, prefix in enumerate(prefixes[:_MAX_PREFIXES]):
        endpoint = fleet.index.holder(request.pool, prefix, rng)
        if endpoint:
            return endpoint, (len(prefixes) - index) / len(prefixes)
    return '', 0


def _is_candidate(
    fleet: views.Fleet,
    request: Request,
    endpoint: str,
    in_service: list[str],
) -> bool:
    if not endpoint or endpoint in request.excluded:
        return False
    if not fleet.is_routable(endpoint, request.pool, request.version):
        return False
    view = fleet.find(endpoint)
    return view is not None and view.data_centre in in_service


def _score(
    fleet: views.Fleet,
    view: views.EndpointView,
    weights: model.Weights,
    source: str,
    cached_share: float,
    distance_ms: float,
    now_ms: float,
) -> Candidate:
    load = fleet.load(view.endpoint)
    limit = max(1, view.limit)
    first_token_ms = view.first_token_ms or _DEFAULT_TIME_MS
    service_time_ms = view.service_time_ms or _DEFAULT_TIME_MS
    queued = max(0, load + 1 - limit)
    wait_ms = queued / limit * service_time_ms
    wait_ms += first_token_ms * load / limit
    is_cold = view.state == views.COLD
    # A cached prefix counts only if the request does not have to queue.
    saved_ms = 0 if queued else cached_share * first_token_ms
    return Candidate(
        endpoint=view.endpoint,
        source=source,
        load=load,
        report_age_ms=now_ms - view.measured_ms,
        wait=weights.wait * wait_ms,
        distance=weights.distance * distance_ms,
        cold=weights.cold * _COLD_PENALTY_MS * is_cold,
        cache=-weights.cache * saved_ms,
        exposure=(
            weights.exposure
            * _FAILURE_PENALTY_MS
            * fleet.observations(view.endpoint).failure_share
        ),
        is_full_cold=is_cold and queued > 0,
        is_idle_cold=is_cold and load < _IDLE_LOAD,
    )


def _is_in_service(configuration: model.Configuration, name: str) -> bool:
    data_centre = configuration.data_centres.get(name)
    return data_centre is None or data_centre.state == model.IN_SERVICE


def _region(configuration: model.Configuration, name: str) -> str:
    data_centre = configuration.data_centres.get(name)
    return '' if data_centre is None else data_centre.region


def _distance_ms(
    configuration: model.Configuration,
    request: Request,
    view: views.EndpointView,
    region: str,
) -> float:
    if view.data_centre == request.data_centre:
        return 0
    if _region(configuration, view.data_centre) == region:
        return _REGION_LATENCY_MS
    return _REMOTE_LATENCY_MS
