"""Sequential tests of a new version against its baseline.

Each test is a betting e-process: a wealth that starts at 1 and is multiplied
by ``1 + bet * gain``, where the bet depends on earlier gains only. Under the
null hypothesis the expected gain is at most 0, so the wealth exceeds ``1 / a``
at any time with a probability of at most ``a`` (Ville's inequality). It may
therefore be checked after every request.

A gain compares one request of the new version with the mean of baseline
requests of the same kind and time. No baseline request is part of two gains.
The baseline's mean need not be known, and a change of the traffic cancels out.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

# Bounds the loss from one gain to 80% of the wealth.
_MAX_BET: Final = 0.8
# The prior variance has the weight of this many gains.
_PRIOR_GAINS: Final = 3.0
_PRIOR_VARIANCE: Final = 0.1
# math.exp overflows above about 709.
_MAX_EXPONENT: Final = 700.0


@attrs.define
class EProcess:
    """Evidence against ``expected gain <= 0``, for gains of at least -1.

    ``smoothing`` is the smoothing factor of the mean and variance from which
    the bet is computed. Another process starts after every
    ``gains_per_start`` gains, so that many good requests do not delay the
    detection of a version that becomes worse. ``value`` is the e-value: a
    weighted sum of the wealths of all starts, whose weights sum to 1.
    """

    smoothing: float = 0.05
    gains_per_start: int = 32
    gain_count: int = 0
    _log_wealth: float = 0
    _starts: int = 0
    # Logarithm of the sum, over all starts, of weight / wealth at the start.
    _log_start_weights: float = -math.inf
    _mean: float = 0
    _variance: float = _PRIOR_VARIANCE

    def update(self, gain: float) -> None:
        """Update the wealth and the estimates with one gain."""
        if self.gain_count % self.gains_per_start == 0:
            self._start()
        self._log_wealth += math.log1p(self._bet() * gain)
        self.gain_count += 1
        self._update_estimates(gain)

    @property
    def value(self) -> float:
        """Return the e-value; 1 before the first gain."""
        exponent = self._log_wealth + self._log_start_weights
        wealth = math.exp(min(exponent, _MAX_EXPONENT))
        return wealth + 1 / (self._starts + 1)

    def _start(self) -> None:
        self._starts += 1
        weight = 1 / (self._starts * (self._starts + 1))
        term = math.log(weight) - self._log_wealth
        largest = max(term, self._log_start_weights)
        self._log_start_weights = largest + math.log(
            math.exp(term - largest)
            + math.exp(self._log_start_weights - largest)
        )

    def _bet(self) -> float:
        # Maximises the expected logarithmic growth to second order.
        second_moment = self._variance + self._mean**2
        return min(max(self._mean / second_moment, 0), _MAX_BET)

    def _update_estimates(self, gain: float) -> None:
        weight = max(self.smoothing, 1 / (self.gain_count + _PRIOR_GAINS))
        deviation = gain - self._mean
        self._mean += weight * deviation
        self._variance += weight * (deviation**2 - self._variance)


def _harm_processes() -> tuple[EProcess, ...]:
    # The first process detects large differences within few requests. The
    # estimates of the second one have a third of the error, so that it detects
    # the small differences that a slowly worsening version shows first.
    return EProcess(), EProcess(smoothing=0.005, gains_per_start=256)


@attrs.frozen
class Margins:
    """Differences from the baseline that are tested, for one measure.

    ``harm`` is the difference of means above which the version is harmful.
    ``no_harm`` lists, by step, the difference that must be ruled out before
    the roll-out advances; its last value applies to further steps. The more
    callers a step exposes, the smaller the difference that must be ruled out.
    """

    harm: float
    no_harm: tuple[float, ...]

    def no_harm_at(self, step: int) -> float:
        """Return the margin to rule out before advancing from ``step``."""
        return self.no_harm[min(step, len(self.no_harm) - 1)]


@attrs.define
class Comparison:
    """Tests of one measure: for harm, and for no harm beyond a margin."""

    margins: Margins
    step: int = 0
    _harm_tests: tuple[EProcess, ...] = attrs.field(factory=_harm_processes)
    no_harm: EProcess = attrs.field(factory=EProcess)

    @property
    def harm(self) -> float:
        """Return the e-value of harm: the mean over both processes."""
        return sum(process.value for process in self._harm_tests) / len(
            self._harm_tests
        )

    def update(self, excess_loss: float) -> None:
        """Update the tests with one request of the new version.

        ``excess_loss`` is the request's loss less the baseline's mean loss,
        from -1 to 1.
        """
        # The divisor keeps each gain at -1 or above.
        harm = self.margins.harm
        for process in self._harm_tests:
            process.update((excess_loss - harm) / (1 + harm))
        margin = self.margins.no_harm_at(self.step)
        self.no_harm.update((margin - excess_loss) / (1 + margin))

    def start_step(self, step: int) -> None:
        """Restart the test for no harm, with the margin of ``step``."""
        self.step = step
        self.no_harm = EProcess()
