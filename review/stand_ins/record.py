"""The record of what a case sent, ran and answered."""

from __future__ import annotations

import asyncio
import json
import pathlib
import time
import traceback
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

_Outcome = TypeVar('_Outcome')
# A case may take 120 s; the rest is for the end of its processes.
_MAX_S = 105
_COULD_NOT_RUN = 2


class Record:
    """Writes one JSON object a line, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._started_s = time.monotonic()
        self.lines: list[dict[str, Any]] = []

    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self._started_s

    def write(self, what: str, **fields: Any) -> float:
        """Write an event and return its time."""
        at_s = self.now_s()
        line = {'at_s': round(at_s, 4), 'what': what, **fields}
        self.lines.append({**line, 'at_s': at_s})
        self._file.write(json.dumps(line) + '\n')
        self._file.flush()
        return at_s


async def limited(play: Coroutine[Any, Any, _Outcome]) -> _Outcome:
    """Return what a case returns; raises ``TimeoutError`` if it takes long."""
    return await asyncio.wait_for(play, _MAX_S)


def guarded(main: Callable[[], int]) -> int:
    """Return the exit status of a case, 2 if it could not run."""
    try:
        return main()
    except Exception:
        traceback.print_exc()
        return _COULD_NOT_RUN
