"""Puts the build's libraries and the project's stand-ins on the path."""

from __future__ import annotations

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIBRARIES = ROOT / 'target' / 'deps'


def set_up() -> None:
    """Add the folders from which the stand-ins import."""
    for folder in (LIBRARIES, ROOT / 'platform', *ROOT.glob('packages/*/src')):
        sys.path.append(str(folder))
