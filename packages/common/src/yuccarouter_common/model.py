"""The configuration: organisations, versions, pools and what they allow.

All values are immutable; ``apply.apply_record`` builds the next configuration
from the current one and a log record.
"""

from __future__ import annotations

from typing import Final

import attrs

# Values of ``Organisation.stale_policy``.
SERVE: Final = 'serve'
REFUSE: Final = 'refuse'

# Values of ``ModelVersion.state``.
WITHDRAWN: Final = 'withdrawn'
READY: Final = 'ready'

# Values of ``DataCentre.state``.
IN_SERVICE: Final = 'in_service'
OUT_OF_SERVICE: Final = 'out_of_service'


@attrs.frozen(order=True)
class Position:
    """A position in the configuration's history, ordered by generation first.

    A snapshot that repairs a log after its restore to older data increments
    the generation. Offsets are comparable only within one generation.
    """

    generation: int = 0
    offset: int = -1


@attrs.frozen
class Organisation:
    """A customer of the system and what it may use.

    ``key_digests`` are hex SHA-256 digests of bearer tokens. ``allowed`` holds
    ``model@version`` names. ``stale_policy`` decides whether requests are
    served or refused when the configuration has not been confirmed for
    ``stale_limit_ms``. ``on_withdrawn_session`` says what a session gets when
    its version is withdrawn: ``refuse`` or ``move``.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    allowed: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    weight: float = 1.0
    max_concurrent: int = 64
    stale_policy: str = SERVE
    stale_limit_ms: int = 60_000
    on_withdrawn_session: str = REFUSE
    changed_offset: int = -1


@attrs.frozen
class ModelVersion:
    """One version of a model, its price and its state.

    Prices are in microcents for one token. ``pool`` names the endpoint pool
    that serves it.
    """

    model: str
    version: str
    pool: str
    prompt_price_microcents: int = 0
    completion_price_microcents: int = 0
    state: str = READY
    changed_offset: int = -1

    @property
    def name(self) -> str:
        """The ``model@version`` name."""
        return f'{self.model}@{self.version}'


@attrs.frozen
class RequestKind:
    """How long a kind of request may take and how it is treated.

    ``bound_ms`` is the longest time a caller waits for a complete answer or a
    refusal. Interrupted ``whole`` requests are resumed, also past the bound,
    rather than ended without a complete answer.
    """

    name: str
    bound_ms: int = 30_000
    priority: int = 1
    whole: bool = False
    hedge: bool = False
    changed_offset: int = -1


@attrs.frozen
class CascadeStep:
    """One step of a cascade, as a ``model@version`` name or a model."""

    target: str


@attrs.frozen
class Cascade:
    """Models to try in order, from cheapest to best, for some request kinds.

    ``quality_target`` is a rating between 0 and 1. ``latency_budget_ms`` is the
    time that all steps but the last may take together.
    """

    name: str
    steps: tuple[CascadeStep, ...]
    quality_target: float = 0.8
    latency_budget_ms: int = 2000
    kinds: tuple[str, ...] = ()
    changed_offset: int = -1


@attrs.frozen
class Weights:
    """Weights of the cost terms in the endpoint choice."""

    wait: float = 1.0
    distance: float = 1.0
    cold: float = 1.0
    cache: float = 1.0
    exposure: float = attrs.field(default=0, converter=float)


@attrs.frozen
class Pool:
    """A group of endpoints that serve the same versions or services.

    ``checks_fencing`` means that the endpoints refuse an order with an old
    fencing number; agents check the number for endpoints that do not.
    """

    name: str
    kind: str = 'engine'
    checks_fencing: bool = False
    max_in_flight: int = 16
    cold_limit: int = 1
    max_queued: int = 64
    weights: Weights = Weights()
    changed_offset: int = -1


@attrs.frozen
class Call:
    """One call of a plain service, by method and path prefix."""

    method: str
    path: str
    idempotent: bool = False
    kind: str = ''
    price_microcents: int = 0


@attrs.frozen
class Service:
    """A plain service; calls that are not listed are not idempotent."""

    name: str
    pool: str
    calls: tuple[Call, ...] = ()
    changed_offset: int = -1


@attrs.frozen
class DataCentre:
    """A data centre and whether operators have taken it out of service."""

    name: str
    region: str = ''
    state: str = IN_SERVICE
    changed_offset: int = -1


@attrs.frozen
class Rollout:
    """A roll-out that replaces one version of a model by another.

    ``version`` and ``baseline`` are versions of ``model``, without its name.

    ``share`` is the fraction of new sessions, and of requests without a
    session, that get the new version. ``state`` is ``created``, ``rolling``,
    ``held``, ``withdrawn`` or ``finished``.
    """

    name: str
    model: str
    version: str
    baseline: str
    state: str = 'created'
    step: int = 0
    share: float = attrs.field(default=0, converter=float)
    steps: tuple[float, ...] = (0.01, 0.05, 0.2, 0.5, 1.0)
    reason: str = ''
    fencing_number: int = 0
    changed_offset: int = -1


@attrs.frozen
class VoidChange:
    """A record without effect, because of its condition or an invalid body.

    ``winner_change_id`` and ``winner_offset`` name the last change of the
    object when the condition failed.
    """

    change_id: str
    offset: int
    reason: str
    winner_change_id: str = ''
    winner_offset: int = -1


@attrs.frozen
class Configuration:
    """The configuration set by operators, at one position of the log.

    Each mapping has the objects by name and is never modified in place.
    """

    position: Position = Position()
    organisations: dict[str, Organisation] = attrs.field(factory=dict)
    versions: dict[str, ModelVersion] = attrs.field(factory=dict)
    kinds: dict[str, RequestKind] = attrs.field(factory=dict)
    cascades: dict[str, Cascade] = attrs.field(factory=dict)
    pools: dict[str, Pool] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    data_centres: dict[str, DataCentre] = attrs.field(factory=dict)
    rollouts: dict[str, Rollout] = attrs.field(factory=dict)
    # Change id of the last change of each object, by ``field/name``.
    last_changes: dict[str, str] = attrs.field(factory=dict)
