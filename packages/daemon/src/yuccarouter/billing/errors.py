"""Errors of billing."""

from __future__ import annotations

from yuccarouter_common import errors


class BillingError(errors.RouterError):
    """A bill row could not be taken."""

    code = 'billing_error'


class LedgerFullError(BillingError):
    """The log has been down for so long that no more rows can be held."""

    code = 'log_unavailable'
