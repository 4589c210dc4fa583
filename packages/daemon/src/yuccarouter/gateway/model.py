"""What the gateway knows of routes, endpoints, orders and calls."""

from __future__ import annotations

import enum
from typing import Final

import attrs

MS_PER_S: Final = 1000.0


class Kind(enum.StrEnum):
    """What may be repeated of the requests of a route."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@attrs.frozen
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form that URLs have."""
        return f'{self.host}:{self.port}'


@attrs.frozen
class ServiceShare:
    """A service of a route with its share of the route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where the requests of one host and path prefix go.

    ``models`` are the sizes that the gateway may choose from, smallest first;
    it is empty where the caller names the model. ``gap_objective_ms`` is the
    longest pause between events of a stream that is on time, 0 for others.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    timeout_ms: float
    objective_ms: float
    gap_objective_ms: float
    priority: int
    max_attempts: int
    shares: tuple[ServiceShare, ...]
    is_anonymous: bool = False
    is_resumable: bool = False
    models: tuple[str, ...] = ()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is Kind.STREAM:
            return self.is_resumable
        return self.kind is Kind.SAFE


@attrs.frozen
class Service:
    """Endpoints that serve alike.

    ``cold_requests_per_s`` is what one cold endpoint bears, 0 for no bound.
    ``model_costs`` are prices for 1,000 generated tokens.
    """

    name: str
    max_connections: int
    cold_requests_per_s: float
    model_costs: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Organisation:
    """A customer with the keys that its requests may carry."""

    name: str
    keys: tuple[str, ...]
    priority: int | None


@attrs.frozen
class Limits:
    """What a caller may send."""

    body_bytes: int


@attrs.frozen
class Configuration:
    """One version of the configuration, whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: tuple[Organisation, ...]
    limits: Limits


@attrs.frozen(order=True)
class Incarnation:
    """Which start of an endpoint a message is of, and its place therein."""

    started_ms: int
    sequence: int


@attrs.frozen
class Announcement:
    """What an endpoint says of itself in the directory."""

    endpoint: str
    service: str
    address: Address
    data_centre: str
    version: str
    slots: int
    is_draining: bool
    cold_remaining_ms: float
    incarnation: Incarnation


@attrs.frozen
class RolloutOrder:
    """An operator's order to move a service to another version.

    ``number`` is the offset of the order's record, which names the order.
    """

    number: int
    service: str
    target: str
    ramp_ms: float


@attrs.frozen
class Evacuation:
    """An order to send nothing to a data centre, or its end."""

    data_centre: str
    is_over: bool


@attrs.frozen
class PromptPart:
    """A part of a prompt that other prompts may share."""

    name: str
    tokens: int


@attrs.frozen
class Generation:
    """What a caller says of the prompt and the answer it expects."""

    model: str
    prompt_tokens: int
    expected_output_tokens: int
    parts: tuple[PromptPart, ...]


@attrs.frozen
class Call:
    """A caller's request, decoded.

    ``headers`` are those to pass on unchanged. ``caller_deadline_ms`` is how
    long the caller waits, counted from the arrival.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    key: str
    caller_deadline_ms: float | None
    generation: Generation | None
    last_event_id: str
    session: str
    body_bytes: int = 0


@attrs.frozen
class Load:
    """How busy an endpoint is."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class AnswerHead:
    """What the head of an endpoint's answer says.

    ``not_run`` is true only where the endpoint promises that the request did
    not run, and ``is_other_endpoint`` where another one answered than the
    request was meant for. ``confidence`` is the model's opinion of its answer,
    0 to 100.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    request_id: str
    not_run: bool
    is_signed: bool
    load: Load | None
    confidence: float | None
    is_encoded: bool
    is_misdirected: bool = False


def prompt_tokens(call: Call) -> int:
    """Return the tokens that an engine must read for ``call``."""
    if call.generation is None:
        return 0
    return call.generation.prompt_tokens
