"""Errors of roll-outs and leases."""

from __future__ import annotations

from yuccarouter_common import errors


class RolloutError(errors.RouterError):
    """A roll-out can't continue."""

    code = 'rollout_error'


class LeaseRecordError(RolloutError):
    """A record of the lease stream can't be decoded."""

    code = 'bad_lease_record'


class LoadRefusedError(RolloutError):
    """The weight store refused a load because of its rate limit."""

    code = 'load_refused'

    def __init__(self, message: str, retry_after_ms: int) -> None:
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class LoadFailedError(RolloutError):
    """A version could not be loaded at an endpoint."""

    code = 'load_failed'
