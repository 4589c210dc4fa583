"""What the entry has decided about a request and what has happened to it."""

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
    """What runs a request: a version in a pool, or a plain service.

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
class Plan:
    """A checked request of one caller.

    ``deadline_s`` is on the monotonic clock of this process. ``body_digest``
    tells a repeat of a request from another request with the same key.
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
        """Return the time that is left, 0 when none is."""
        left_s = self.deadline_s - time.monotonic()
        return max(0, int(left_s * _MS_PER_S))


@attrs.define
class AttemptNote:
    """One attempt of a request and how it went."""

    attempt_id: str
    address: str
    endpoint: str
    version: str
    outcome: str = 'sent'


@attrs.define
class Progress:
    """What has happened to a request so far.

    ``may_have_run`` turns true when an attempt's outcome is not known, and
    from then on no refusal says ``not_run``.
    """

    attempts: list[AttemptNote] = attrs.field(factory=list)
    tried: set[str] = attrs.field(factory=set)
    reasons: list[dict[str, Any]] = attrs.field(factory=list)
    may_have_run: bool = False
    # Attempts of earlier steps of a cascade, which don't count as retries.
    earlier_attempts: int = 0
    # A configured name, never the caller's text: it labels metrics.
    kind: str = 'default'
    bound_ms: int = 0
    # Why a stream that had begun could not be made whole.
    cut: refusals.RefusalError | None = None

    @property
    def attempts_of_step(self) -> int:
        """Number of attempts of the present step."""
        return len(self.attempts) - self.earlier_attempts

    def start_step(self) -> None:
        """Let the next step of a cascade use every endpoint."""
        self.earlier_attempts = len(self.attempts)
        self.tried.clear()

    def of_kind(self, kind: model.RequestKind) -> None:
        """Note the kind of the request."""
        self.kind = kind.name
        self.bound_ms = kind.bound_ms

    def explain(self, step: str, **details: Any) -> None:
        """Keep a decision with its reasons for operators."""
        self.reasons.append({'step': step, **details})


@attrs.frozen
class Answer:
    """The whole answer of a request and the attempt that gave it."""

    status: int
    body: bytes
    content_type: str
    target: Target
    prompt_tokens: int = 0
    completion_tokens: int = 0
    attempt_id: str = ''
    is_replayed: bool = False
