"""Learned times of requests, at the usual speed of idle endpoints."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Final

import attrs

from yuccarouter.gateway import prefill_speeds

# Routes and models whose times are kept. Callers may name models, so that the
# number of names is not limited by the configuration.
_MAX_NAMES: Final = 512
# Share of an answer in the mean of its route. Answers of one route differ, and
# the mean is to follow a new version of the service within a few seconds.
_SERVICE_SHARE: Final = 0.05
# Decay of the weight of earlier reads with each new one. Long prompts are
# rare, and the speed of engines at the usual factor rarely changes.
_READ_DECAY: Final = 0.995
# Part of the time to the first event that does not depend on the prompt.
_BASE_MS: Final = 25.0
# Reads are fitted in units of this many tokens, so that the sums have similar
# magnitudes.
_TOKENS_PER_UNIT: Final = 10_000.0
# Errors are weighted relative to the length, but not for prompts shorter than
# this: little of their time is the read.
_MIN_WEIGHTED_UNITS: Final = 0.2
# Weight of the assumed time per token, in reads of weight one.
_ASSUMED_WEIGHT: Final = 0.2
# The quadratic term is used only if it reduces the squared errors by this
# multiple of their mean (an F-test at about 0.3%), after enough reads.
_MIN_F_RATIO: Final = 9.0
_MIN_READS: Final = 12.0
# Smallest determinant and error, against a division by zero.
_MIN_DIVISOR: Final = 1e-9


@attrs.frozen
class Estimates:
    """Times from which the cost of an endpoint for a call is calculated.

    ``time_factor`` returns an endpoint's current factor. ``service_ms`` is the
    time of a plain request, and ``read_ms`` returns that of prompt tokens.
    """

    time_factor: Callable[[str, float], float]
    service_ms: float
    read_ms: Callable[[float], float]


@attrs.define
class _ReadFit:
    """Weighted sums over reads, and the time per unit and squared unit.

    ``squares``, ``cubes`` and ``fourths`` are powers of lengths,
    ``time_squares`` squares of times, and ``length_times`` and
    ``square_times`` products of times with lengths and their squares.
    """

    reads: float = 0
    squares: float = 0
    cubes: float = 0
    fourths: float = 0
    time_squares: float = 0
    length_times: float = 0
    square_times: float = 0
    linear_ms: float = prefill_speeds.ASSUMED_MS_PER_TOKEN * _TOKENS_PER_UNIT
    quadratic_ms: float = 0

    def add(self, units: float, read_ms: float, weight: float) -> None:
        """Add a read and fit the terms again."""
        weight /= max(_MIN_WEIGHTED_UNITS, units) ** 2
        self.reads = _READ_DECAY * self.reads + 1
        self.squares = _READ_DECAY * self.squares + weight * units**2
        self.cubes = _READ_DECAY * self.cubes + weight * units**3
        self.fourths = _READ_DECAY * self.fourths + weight * units**4
        self.time_squares = (
            _READ_DECAY * self.time_squares + weight * read_ms**2
        )
        self.length_times = (
            _READ_DECAY * self.length_times + weight * units * read_ms
        )
        self.square_times = (
            _READ_DECAY * self.square_times + weight * units**2 * read_ms
        )
        self._fit()

    def expected_ms(self, units: float) -> float:
        """Return the time of a read."""
        return units * (self.linear_ms + units * self.quadratic_ms)

    def _fit(self) -> None:
        assumed_ms = prefill_speeds.ASSUMED_MS_PER_TOKEN * _TOKENS_PER_UNIT
        self.quadratic_ms = 0
        self.linear_ms = (self.length_times + _ASSUMED_WEIGHT * assumed_ms) / (
            self.squares + _ASSUMED_WEIGHT
        )
        if self.reads < _MIN_READS:
            return
        determinant = self.squares * self.fourths - self.cubes**2
        if determinant < _MIN_DIVISOR:
            return
        linear_ms = (
            self.length_times * self.fourths - self.square_times * self.cubes
        ) / determinant
        quadratic_ms = (
            self.squares * self.square_times - self.cubes * self.length_times
        ) / determinant
        if linear_ms < 0 or quadratic_ms <= 0:
            return
        line_error = self.time_squares - self.length_times**2 / self.squares
        curve_error = max(
            _MIN_DIVISOR,
            self.time_squares
            - linear_ms * self.length_times
            - quadratic_ms * self.square_times,
        )
        gain = (line_error - curve_error) * (self.reads - 2)
        if gain > _MIN_F_RATIO * curve_error:
            self.linear_ms = linear_ms
            self.quadratic_ms = quadratic_ms


@attrs.define
class ServiceTimes:
    """Times of plain routes' requests and of engines' reads.

    ``_services_ms`` holds decayed means by service, and by service and route.
    """

    _services_ms: collections.OrderedDict[tuple[str, str], float] = attrs.field(
        factory=collections.OrderedDict
    )
    _reads: collections.OrderedDict[str, _ReadFit] = attrs.field(
        factory=collections.OrderedDict
    )

    def record_service(
        self, service: str, route: str, elapsed_ms: float, factor: float
    ) -> None:
        """Record an answer of a plain route.

        ``factor`` is the factor in force, with that of the wait for a slot.
        """
        usual_ms = elapsed_ms / factor
        for key in ((service, ''), (service, route)):
            known_ms = self._services_ms.get(key, usual_ms)
            self._services_ms[key] = known_ms + _SERVICE_SHARE * (
                usual_ms - known_ms
            )
            self._services_ms.move_to_end(key)
        while len(self._services_ms) > _MAX_NAMES:
            self._services_ms.popitem(last=False)

    def service_ms(
        self, service: str, route: str, assumed_ms: float = 0
    ) -> float:
        """Return the time of a route's request at an idle endpoint.

        It is that of all routes of the service, or else ``assumed_ms``, while
        no answer is known.
        """
        of_service_ms = self._services_ms.get((service, ''), assumed_ms)
        return self._services_ms.get((service, route), of_service_ms)

    def record_read(
        self, model: str, tokens: float, elapsed_ms: float, waited_ms: float
    ) -> None:
        """Record the time to the first event at the usual speed.

        ``waited_ms`` is the part of the time in which prompts that came
        before were read, by their expected times. The less certain a read is
        because of it, the less it counts.
        """
        units = tokens / _TOKENS_PER_UNIT
        if units <= 0:
            return
        read_ms = max(0, elapsed_ms - waited_ms - _BASE_MS)
        fit = self._reads.setdefault(model, _ReadFit())
        expected_ms = fit.expected_ms(units)
        certainty = expected_ms / max(_MIN_DIVISOR, expected_ms + waited_ms)
        fit.add(units, read_ms, certainty**2)
        self._reads.move_to_end(model)
        while len(self._reads) > _MAX_NAMES:
            self._reads.popitem(last=False)

    def knows_reads(self, model: str) -> bool:
        """Return whether a read of this model was timed."""
        return model in self._reads

    def read_ms(self, model: str, tokens: float) -> float:
        """Return the time in which an idle engine reads prompt tokens."""
        fit = self._reads.get(model)
        if fit is None:
            return tokens * prefill_speeds.ASSUMED_MS_PER_TOKEN
        return fit.expected_ms(max(0, tokens) / _TOKENS_PER_UNIT)
