"""Errors of admission and of the calls to the endpoint."""

from __future__ import annotations

from yuccarouter_common import errors


class AdmissionError(errors.RouterError):
    """Base class of the errors of admission."""

    code = 'admission_error'


class NotConnectedError(AdmissionError):
    """No connection to the endpoint; nothing was sent."""

    code = 'no_endpoint'


class BrokenCallError(AdmissionError):
    """A call failed after it was sent; its effect is unknown."""

    code = 'upstream_failed'


class BadReportError(AdmissionError):
    """The endpoint's load report or cache events are invalid."""

    code = 'bad_report'
