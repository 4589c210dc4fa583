"""Names the release that runs, so that logs of several can be told apart."""

from __future__ import annotations

import pathlib
import re
from typing import Final

UNKNOWN: Final = 'unknown'
# An abbreviated or a whole commit identifier.
_COMMIT: Final = re.compile('[0-9a-f]{7,64}')


def read(path: str) -> str:
    """Return the commit that the build has written to a file.

    Returns ``UNKNOWN`` if there is none: a missing name must not keep the
    process from starting.
    """
    try:
        text = pathlib.Path(path).read_text('ascii').strip()
    except (OSError, UnicodeDecodeError):
        return UNKNOWN
    return text if _COMMIT.fullmatch(text) else UNKNOWN
