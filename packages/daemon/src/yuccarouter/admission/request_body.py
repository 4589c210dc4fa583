"""Request bodies for the endpoint."""

from __future__ import annotations

from typing import Any

import attrs
import orjson

from yuccarouter_common import refusals
from yuccarouter_common.proto import router_pb2


@attrs.frozen
class RequestBody:
    """A request body for the endpoint.

    ``wants_usage`` says that the caller asked for the usage event of a stream.
    """

    body: bytes
    wants_usage: bool = False


def build(request: router_pb2.RunRequest) -> RequestBody:
    """Return the body to send; an engine's body names the version to run.

    Raises ``RefusalError`` when the body for an engine is not a JSON object.
    """
    if request.service:
        return RequestBody(request.body)
    document = _parse(request.body)
    document['model'] = f'{request.model}@{request.version}'
    document['stream'] = request.stream
    document['priority'] = request.priority
    options = document.get('stream_options')
    if request.stream:
        # Billing needs the usage event of every stream.
        document['stream_options'] = {'include_usage': True}
    if request.resume_text:
        document['resume_text'] = request.resume_text
    return RequestBody(
        orjson.dumps(document),
        isinstance(options, dict) and bool(options.get('include_usage')),
    )


def _parse(body: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        document = None
    if isinstance(document, dict):
        return document
    raise refusals.RefusalError(
        'invalid_request', 'the body is not a JSON object'
    )
