"""Errors of billing."""

from __future__ import annotations

from yuccarouter_common import errors


class BillingError(errors.RouterError):
    """A bill row could not be accepted."""

    code = 'billing_error'


class LedgerFullError(BillingError):
    """The ledger holds its maximum of rows after a long outage of the log."""

    code = 'log_unavailable'
