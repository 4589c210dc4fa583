"""Choice of an endpoint for one attempt, with the reasons of the choice."""

from __future__ import annotations

import math
from typing import Final

import attrs

from yuccarouter.routing import _members, errors, views
from yuccarouter_common import model

# Candidates by distance. What a nearer tier lacks is drawn from the next.
_LOCAL_SAMPLES: Final = 4
_REGION_SAMPLES: Final = 2
_REMOTE_SAMPLES: Final = 1

# One-way latency between data centres of one region and between regions.
_REGION_MS: Final = 1.0
_REMOTE_MS: Final = 30.0
# Added wait that an endpoint in a cold start is worth avoiding.
_COLD_MS: Final = 200.0
# Part of the requests that an idle cold endpoint in their sample gets: an entry
# with 13 requests/s offers each of its 116 endpoints one in about 20 s, and all
# 57 entries of a data centre together about three a second.
_WARM_UP_SHARE: Final = 0.1
# An estimate below this is no request, but for the aging of the report.
_IDLE_LOAD: Final = 0.5
# Added wait of an endpoint at which every recent request has failed.
_FAILURE_MS: Final = 1000.0
# Used for an endpoint that has not reported a time yet.
_DEFAULT_TIME_MS: Final = 50.0

# Longest prefixes that are looked up for one request.
_MAX_PREFIXES: Final = 4
# Part of a prompt that the cache of a session's last endpoint likely holds.
_SESSION_SHARE: Final = 0.8

# Hint for a caller when no endpoint is in backoff, and the bounds of the hint
# otherwise: the next endpoint to return may be of another pool.
_RETRY_AFTER_MS: Final = 1000
_MIN_RETRY_AFTER_MS: Final = 100
_MAX_RETRY_AFTER_MS: Final = 2000

_DEFAULT_WEIGHTS: Final = model.Weights()


@attrs.frozen
class Request:
    """What the choice needs to know of one attempt.

    ``version`` is a ``model@version`` name and empty for a plain service.
    ``prefixes`` are hashes of the prompt's prefixes, longest first.
    ``data_centre`` is the entry's own. ``excluded`` holds the endpoints that
    earlier attempts of the request have used.
    """

    pool: str
    version: str
    data_centre: str
    session_endpoint: str = ''
    prefixes: tuple[int, ...] = ()
    excluded: frozenset[str] = frozenset()


@attrs.frozen
class Candidate:
    """A considered endpoint and the parts of its score, in weighted ms.

    ``load`` is the estimate of its requests, from a report that is
    ``report_age_ms`` old and from own requests.
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
        """Sum of the parts; the lowest score is chosen."""
        return (
            self.wait + self.distance + self.cold + self.cache + self.exposure
        )


@attrs.frozen
class Choice:
    """The chosen endpoint and every candidate, best first."""

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
    """Choose an endpoint for an attempt.

    Raises ``RoutingError`` with the code ``no_endpoint`` when no routable
    endpoint of the version is in a data centre that is in service. Two
    properties prevent many requests from following one old report: candidates
    are sampled at random, and a cache counts only below the endpoint's limit.
    """
    pool = configuration.pools.get(request.pool)
    weights = _DEFAULT_WEIGHTS if pool is None else pool.weights
    sources = _candidates(fleet, request, configuration, rng)
    region = _region(configuration, request.data_centre)
    candidates = []
    for endpoint, (source, share) in sources.items():
        view = fleet.find(endpoint)
        if view is None:
            continue
        distance_ms = _distance_ms(configuration, request, view, region)
        candidates.append(
            _score(fleet, view, weights, source, share, distance_ms, now_ms)
        )
    if not candidates:
        raise _no_endpoint(fleet, request)
    candidates.sort(key=_rank)
    _offer_work(candidates, rng)
    chosen = fleet.find(candidates[0].endpoint)
    if chosen is None:
        raise _no_endpoint(fleet, request)
    return Choice(view=chosen, candidates=tuple(candidates))


def _offer_work(candidates: list[Candidate], rng: _members.Rng) -> None:
    """Put an idle cold candidate first now and then.

    An engine only warms by serving. As long as a warm endpoint has room, the
    penalty of a cold start would keep a returned data centre without any work,
    and so without capacity when it is needed.
    """
    for place, candidate in enumerate(candidates):
        if candidate.is_idle_cold:
            if place and rng() < _WARM_UP_SHARE:
                candidates.insert(0, candidates.pop(place))
            return


def _rank(candidate: Candidate) -> tuple[bool, float]:
    return candidate.is_full_cold, candidate.score


def _no_endpoint(fleet: views.Fleet, request: Request) -> errors.RoutingError:
    hint_ms = math.ceil(fleet.retry_after_ms()) or _RETRY_AFTER_MS
    hint_ms = min(_MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, hint_ms))
    return errors.RoutingError(
        f'no endpoint of pool {request.pool!r} can run {request.version!r}',
        code='no_endpoint',
        retry_after_ms=hint_ms,
    )


def _candidates(
    fleet: views.Fleet,
    request: Request,
    configuration: model.Configuration,
    rng: _members.Rng,
) -> dict[str, tuple[str, float]]:
    """Return the source and the cached share of each candidate."""
    found: dict[str, tuple[str, float]] = {}
    group = (request.pool, request.version)
    in_service = [
        name
        for name in fleet.index.data_centres(group)
        if _is_in_service(configuration, name)
    ]
    missing = 0
    for source, count, names in _tiers(configuration, request, in_service):
        missing += count
        drawn = fleet.sample(group, names, missing, request.excluded, rng)
        missing -= len(drawn)
        found.update(dict.fromkeys(drawn, (source, 0)))
    cached, share = _prefix_holder(fleet, request, rng)
    if _is_candidate(fleet, request, cached, in_service):
        found[cached] = ('prefix', share)
    session = request.session_endpoint
    if _is_candidate(fleet, request, session, in_service):
        known = found[session][1] if session in found else 0
        found[session] = ('session', max(known, _SESSION_SHARE))
    return found


def _tiers(
    configuration: model.Configuration,
    request: Request,
    in_service: list[str],
) -> list[tuple[str, int, list[str]]]:
    region = _region(configuration, request.data_centre)
    local, near, far = [], [], []
    for name in in_service:
        if name == request.data_centre:
            local.append(name)
        elif _region(configuration, name) == region:
            near.append(name)
        else:
            far.append(name)
    return [
        ('local', _LOCAL_SAMPLES, local),
        ('region', _REGION_SAMPLES, near),
        ('remote', _REMOTE_SAMPLES, far),
    ]


def _prefix_holder(
    fleet: views.Fleet, request: Request, rng: _members.Rng
) -> tuple[str, float]:
    prefixes = request.prefixes
    for place, prefix in enumerate(prefixes[:_MAX_PREFIXES]):
        endpoint = fleet.index.holder(request.pool, prefix, rng)
        if endpoint:
            return endpoint, (len(prefixes) - place) / len(prefixes)
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
    share: float,
    distance_ms: float,
    now_ms: float,
) -> Candidate:
    load = fleet.load(view.endpoint)
    limit = max(1, view.limit)
    first_token_ms = view.first_token_ms or _DEFAULT_TIME_MS
    service_time_ms = view.service_time_ms or _DEFAULT_TIME_MS
    waiting = max(0, load + 1 - limit)
    wait_ms = waiting / limit * service_time_ms
    wait_ms += first_token_ms * load / limit
    is_cold = view.state == views.COLD
    # A cache is worth a queue only where the request can start at once.
    saved_ms = 0 if waiting else share * first_token_ms
    return Candidate(
        endpoint=view.endpoint,
        source=source,
        load=load,
        report_age_ms=now_ms - view.measured_ms,
        wait=weights.wait * wait_ms,
        distance=weights.distance * distance_ms,
        cold=weights.cold * _COLD_MS * is_cold,
        cache=-weights.cache * saved_ms,
        exposure=(
            weights.exposure
            * _FAILURE_MS
            * fleet.evidence(view.endpoint).failure_share
        ),
        is_full_cold=is_cold and waiting > 0,
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
        return _REGION_MS
    return _REMOTE_MS
