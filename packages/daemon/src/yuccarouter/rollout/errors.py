"""Errors of roll-outs and leases."""

from __future__ import annotations

from yuccarouter_common import errors


class RolloutError(errors.RouterError):
    """A roll-out can't be carried on."""

    code = 'rollout_error'


class LeaseRecordError(RolloutError):
    """A record of the stream of leases can't be decoded."""

    code = 'bad_lease_record'
