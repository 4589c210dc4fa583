"""Profiles of the property tests."""

from __future__ import annotations

import hypothesis

# CI gives one verdict for one state of the code, so its examples are fixed.
hypothesis.settings.register_profile('ci', derandomize=True, deadline=None)
# Tests that state their own number of examples keep it.
hypothesis.settings.register_profile('soak', max_examples=2000, deadline=None)
hypothesis.settings.load_profile('ci')
