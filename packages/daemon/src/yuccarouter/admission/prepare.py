"""The body that goes to the endpoint."""

from __future__ import annotations

from typing import Any

import attrs
import orjson

from yuccarouter_common import refusals
from yuccarouter_common.proto import router_pb2


@attrs.frozen
class Prepared:
    """A body for the endpoint.

    ``shows_usage`` says that the caller expects the usage event of a stream.
    """

    body: bytes
    shows_usage: bool = False


def prepare(request: router_pb2.RunRequest) -> Prepared:
    """Return the body of a request, for an engine with the version to run.

    Raises ``RefusalError`` when the body for an engine is no JSON object.
    """
    if request.service:
        return Prepared(request.body)
    document = _read(request.body)
    document['model'] = f'{request.model}@{request.version}'
    document['stream'] = request.stream
    document['priority'] = request.priority
    options = document.get('stream_options')
    if request.stream:
        # Billing needs the usage event of each stream.
        document['stream_options'] = {'include_usage': True}
    if request.resume_text:
        document['resume_text'] = request.resume_text
    return Prepared(
        orjson.dumps(document),
        isinstance(options, dict) and bool(options.get('include_usage')),
    )


def _read(body: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        document = None
    if isinstance(document, dict):
        return document
    raise refusals.RefusalError(
        'invalid_request', 'the body is not a JSON object'
    )
