"""Billing a request once its answer is whole."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from yuccarouter.billing import errors
from yuccarouter_common import billing_rows, clocks, refusals

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state, plan

_FULL_RETRY_MS: Final = 5000


def check_room(shared: entry_state.EntryState) -> None:
    """Refuse work that could not be billed, since the log is down too long."""
    if shared.ledger.is_full:
        raise refusals.RefusalError(
            'log_unavailable',
            'too many bill rows wait for the log',
            retry_after_ms=_FULL_RETRY_MS,
        )


def bill(
    shared: entry_state.EntryState,
    request: plan.Plan,
    answer: plan.Answer,
    progress: plan.Progress,
) -> None:
    """Bill an answer and settle the attempts that did not give it.

    A request without a whole answer is not billed.
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
    unused = []
    for note in progress.attempts:
        if note.attempt_id == answer.attempt_id:
            shared.settlements.expect(note)
        elif not note.outcome.startswith('refused'):
            # A whole answer may have been made even where the entry stopped
            # reading; its agent would bill it as that of a lost entry.
            unused.append(note)
    shared.settlements.discard(unused)
    try:
        shared.ledger.add(row)
    except errors.LedgerFullError:
        # The agent holds the usage and writes the row when the log is back.
        progress.explain('bill_left_to_agent')
