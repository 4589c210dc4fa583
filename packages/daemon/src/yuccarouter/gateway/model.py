"""Data types for routes, endpoints, operators' orders and calls."""

from __future__ import annotations

import enum
from typing import Final

import attrs

MS_PER_S: Final = 1000.0


class Kind(enum.StrEnum):
    """The kind of a route's requests, which decides whether they may rerun."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@attrs.frozen
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address in the form of URLs."""
        return f'{self.host}:{self.port}'


@attrs.frozen
class ServiceShare:
    """A service of a route, weighted by its share of the route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How requests of one host and path prefix are routed.

    ``models`` are those that the gateway may choose from, smallest first;
    it is empty where the caller names the model. ``gap_objective_ms`` is the
    longest acceptable gap between events of a stream, 0 for other kinds.
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
    """A group of equivalent endpoints.

    ``cold_requests_per_s`` is the rate limit of one cold endpoint, 0 for no
    limit. ``model_costs`` are prices for 1,000 generated tokens, by model.
    """

    name: str
    max_connections: int
    cold_requests_per_s: float
    model_costs: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Organisation:
    """A customer, with the API keys that its requests may carry.

    Under overload, shares of a service are proportional to ``weight``.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    weight: float = 1.0


@attrs.frozen
class Limits:
    """Limits on callers' requests."""

    body_bytes: int


@attrs.frozen
class Configuration:
    """A complete version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: tuple[Organisation, ...]
    limits: Limits


@attrs.frozen(order=True)
class Incarnation:
    """Orders the messages of an endpoint: by its start, then by sequence."""

    started_ms: int
    sequence: int


@attrs.frozen
class Announcement:
    """An endpoint's record in the directory.

    ``cold_remaining_ms`` is the remaining time of its cold start.
    """

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
    """An operator's order to roll out another version of a service.

    ``number`` is that of the order's record in the ``generation`` of the store,
    and identifies the order. ``ramp_ms`` is the time in which the roll-out
    should complete.
    """

    number: int
    service: str
    target: str
    ramp_ms: float
    generation: int = 0

    def is_newer_than(self, other: RolloutOrder) -> bool:
        """Return whether this order was written after ``other``."""
        return (self.generation, self.number) > (
            other.generation,
            other.number,
        )

    def repeats(self, other: RolloutOrder) -> bool:
        """Return whether this is ``other``, written again after a restore."""
        return self.generation > other.generation and (
            self
            == attrs.evolve(
                other, number=self.number, generation=self.generation
            )
        )


@attrs.frozen
class Evacuation:
    """An order to send nothing to a data centre, or the end of one."""

    data_centre: str
    is_over: bool


@attrs.frozen
class PromptPart:
    """A part of a prompt that other prompts may share."""

    name: str
    tokens: int


@attrs.frozen
class Generation:
    """The caller's description of a prompt and of the expected answer."""

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
    """The load that an endpoint reports.

    ``time_percent`` is how long work takes there at this moment, where 100 is
    the usual time; ``None`` if the endpoint does not state it.
    """

    running: int
    waiting: int
    slots: int
    time_percent: int | None = None


@attrs.frozen
class AnswerHead:
    """The decoded head of an endpoint's answer.

    ``not_run`` is true only if the endpoint guarantees that the request did
    not run, and ``is_misdirected`` if another endpoint than the addressed one
    answered. ``confidence`` is the model's confidence in its answer, 0 to 100.
    ``rate_limit_per_s`` is the rate of requests that the endpoint accepts from
    all daemons together, ``None`` if it states none. ``is_leaving`` is true if
    the endpoint is about to stop. ``pause_ms`` is the time in which it wants no
    request from this daemon, ``None`` if it states none. ``malformed_load`` is
    the text of a load report with malformed figures, shortened.
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
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_ms: float | None = None
    malformed_load: str = ''


def prompt_tokens(call: Call) -> int:
    """Return the number of prompt tokens of ``call``."""
    if call.generation is None:
        return 0
    return call.generation.prompt_tokens
