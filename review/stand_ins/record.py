"""The record of what a case sent, ran and answered."""

from __future__ import annotations

import json
import pathlib
import time
from typing import Any


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
