"""Data of a caller's request: its target, attempts, state and answer."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

import attrs

if TYPE_CHECKING:
    from opentelemetry import context

    from yuccarouter.routing import sessions
    from yuccarouter_common import model, refusals

_MS_PER_S: Final = 1000


@attrs.frozen
class Target:
    """What a request is sent to: a version in a pool, or a plain service.

    ``price_microcents`` is the fixed price of a service's call.
    """

    pool: str
    version: model.ModelVersion | None = None
    service: str = ''
    method: str = 'POST'
    path: str = ''
    content_type: str = 'application/json'
    price_microcents: int = 0

    @property
    def version_name(self) -> str:
        """``model@version``, empty for a plain service."""
        return '' if self.version is None else self.version.name


@attrs.frozen
class CallerRequest:
    """A validated request of a caller.

    ``deadline_s`` is on the monotonic clock of this process. ``body_digest``
    distinguishes a repeat from another request with the same key.
    """

    request_id: str
    organisation: model.Organisation
    kind: model.RequestKind
    priority: int
    deadline_s: float
    body: bytes
    is_stream: bool = False
    is_idempotent: bool = True
    idempotency_key: str = ''
    body_digest: str = ''
    session: sessions.Session | None = None
    trace_context: context.Context | None = None

    def remaining_ms(self) -> int:
        """Return the time until the deadline; 0 when it has passed."""
        remaining_s = self.deadline_s - time.monotonic()
        return max(0, int(remaining_s * _MS_PER_S))


@attrs.define
class AttemptRecord:
    """One attempt of a request and its outcome."""

    attempt_id: str
    address: str
    endpoint: str
    version: str
    outcome: str = 'sent'


@attrs.define
class Progress:
    """The state of a request: its attempts, decisions and refusal.

    ``may_have_run`` becomes true when an attempt's outcome is unknown. From
    then on no refusal may have the outcome ``not_run``.
    """

    attempts: list[AttemptRecord] = attrs.field(factory=list)
    tried_endpoints: set[str] = attrs.field(factory=set)
    decisions: list[dict[str, Any]] = attrs.field(factory=list)
    may_have_run: bool = False
    # Attempts of earlier steps of a cascade, which are not retries.
    earlier_attempts: int = 0
    # A configured name, never the caller's text, since it labels metrics.
    kind: str = 'default'
    bound_ms: int = 0
    # Why the request was refused, possibly after its stream had begun.
    refusal: refusals.RefusalError | None = None

    @property
    def step_attempts(self) -> int:
        """Number of attempts of the current step."""
        return len(self.attempts) - self.earlier_attempts

    def start_step(self) -> None:
        """Start the next step of a cascade, which may use every endpoint."""
        self.earlier_attempts = len(self.attempts)
        self.tried_endpoints.clear()

    def assign_kind(self, kind: model.RequestKind) -> None:
        """Assign the configured kind and its time limit."""
        self.kind = kind.name
        self.bound_ms = kind.bound_ms

    def explain(self, step: str, **details: Any) -> None:
        """Record a decision and its reasons for operators."""
        self.decisions.append({'step': step, **details})


@attrs.frozen
class Answer:
    """The complete answer of a request and the attempt that gave it."""

    status: int
    body: bytes
    content_type: str
    target: Target
    prompt_tokens: int = 0
    completion_tokens: int = 0
    attempt_id: str = ''
    is_replayed: bool = False
