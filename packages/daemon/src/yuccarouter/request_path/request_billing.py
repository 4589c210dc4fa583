"""Billing of requests whose answer is complete."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from yuccarouter.billing import errors
from yuccarouter_common import billing_rows, clocks, refusals

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state, request_types

_LEDGER_FULL_RETRY_MS: Final = 5000


def check_capacity(shared: entry_state.EntryState) -> None:
    """Refuse a request that can't be billed since the ledger is full.

    The ledger fills during a long outage of the log. Raises ``RefusalError``
    with the code ``log_unavailable``.
    """
    if shared.ledger.is_full:
        raise refusals.RefusalError(
            'log_unavailable',
            'too many bill rows are waiting for the log',
            retry_after_ms=_LEDGER_FULL_RETRY_MS,
        )


def bill_request(
    shared: entry_state.EntryState,
    request: request_types.CallerRequest,
    answer: request_types.Answer,
    progress: request_types.Progress,
) -> None:
    """Bill an answer and discard the attempts that did not give it.

    A request without a complete answer is not billed.
    """
    version = answer.target.version
    cost = answer.target.price_microcents + billing_rows.cost_microcents(
        version, answer.prompt_tokens, answer.completion_tokens
    )
    row = billing_rows.BillRow(
        request_id=request.request_id,
        organisation=request.organisation.name,
        model=version.model if version else answer.target.service,
        version=version.version if version else '',
        kind=request.kind.name,
        prompt_tokens=answer.prompt_tokens,
        completion_tokens=answer.completion_tokens,
        cost_microcents=cost,
        entry=shared.conf.name,
        attempt_id=answer.attempt_id,
        time_ms=clocks.wall_ms(),
    )
    unused_attempts = []
    for attempt in progress.attempts:
        if attempt.attempt_id == answer.attempt_id:
            shared.settlements.track(attempt)
        elif not attempt.outcome.startswith('refused'):
            # The agent may have completed the answer after the entry stopped
            # reading. If not settled, it is billed as that of a lost entry.
            unused_attempts.append(attempt)
    shared.settlements.discard(unused_attempts)
    try:
        shared.ledger.add(row)
    except errors.LedgerFullError:
        # The agent keeps the usage and writes the row when the log is back.
        progress.explain('bill_left_to_agent')
