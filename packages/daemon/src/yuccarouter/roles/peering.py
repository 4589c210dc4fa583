"""What both roles show of themselves."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Final

import attrs

if TYPE_CHECKING:
    from yuccarouter.configuration import store
    from yuccarouter_common import settings

_VOIDS_SHOWN: Final = 20


def status_of(conf: settings.Settings, held: store.Store) -> dict[str, Any]:
    """Return who a daemon is and which configuration it holds."""
    age_ms = held.freshness.age_ms()
    return {
        'daemon': conf.name,
        'role': conf.role,
        'vm': conf.vm,
        'data_centre': conf.data_centre,
        'position': attrs.asdict(held.position),
        'confirmed_age_ms': None if math.isinf(age_ms) else round(age_ms),
        'log_state': 'rewound' if held.rewound else 'following',
        'void_changes': [
            attrs.asdict(void) for void in held.voids()[-_VOIDS_SHOWN:]
        ],
    }
