"""Sequential tests of a new version against its baseline.

Each test is a betting e-process: a wealth that starts at 1 and is multiplied
by ``1 + bet * gain``, where the bet depends on earlier gains only. Under the
null hypothesis the expected gain is at most 0, so the wealth exceeds ``1 / a``
at any time with a probability of at most ``a`` (Ville's inequality). It may
therefore be looked at after every request.

A gain compares one request of the new version with the mean of baseline
requests of the same kind and time that no other gain uses. The baseline's mean
need not be known, and a change of the traffic cancels out.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

# The largest bet, so that one gain can't cost more than 80% of the wealth.
_MAX_BET: Final = 0.8
# Number of gains that the starting variance counts for.
_PRIOR_GAINS: Final = 3.0
_PRIOR_VARIANCE: Final = 0.1
_MAX_LOG: Final = 700.0


@attrs.define
class EProcess:
    """Evidence against ``expected gain <= 0``, for gains of at least -1.

    ``smoothing`` is the weight of the newest gain in the estimates that choose
    the bet. There is a new start after every ``gains_per_start`` gains, so that
    gains before a version turned bad don't hide the turn. ``value`` is the
    e-value: a weighted sum of the wealths of all starts, whose weights sum
    to 1.
    """

    smoothing: float = 0.05
    gains_per_start: int = 32
    gains: int = 0
    _log_wealth: float = 0
    _starts: int = 0
    # Sum over the starts of weight / wealth at the start, as a logarithm.
    _log_started: float = -math.inf
    _mean: float = 0
    _variance: float = _PRIOR_VARIANCE

    def update(self, gain: float) -> None:
        """Bet on one gain."""
        if self.gains % self.gains_per_start == 0:
            self._start()
        self._log_wealth += math.log1p(self._bet() * gain)
        self.gains += 1
        self._learn(gain)

    @property
    def value(self) -> float:
        """The e-value; 1 before the first gain."""
        exponent = self._log_wealth + self._log_started
        started = math.exp(min(exponent, _MAX_LOG))
        return started + 1 / (self._starts + 1)

    def _start(self) -> None:
        self._starts += 1
        weight = 1 / (self._starts * (self._starts + 1))
        term = math.log(weight) - self._log_wealth
        top = max(term, self._log_started)
        self._log_started = top + math.log(
            math.exp(term - top) + math.exp(self._log_started - top)
        )

    def _bet(self) -> float:
        # Maximizes the expected growth to second order.
        spread = self._variance + self._mean**2
        return min(max(self._mean / spread, 0), _MAX_BET)

    def _learn(self, gain: float) -> None:
        weight = max(self.smoothing, 1 / (self.gains + _PRIOR_GAINS))
        deviation = gain - self._mean
        self._mean += weight * deviation
        self._variance += weight * (deviation**2 - self._variance)


def _harm_processes() -> tuple[EProcess, ...]:
    # The fast one finds what is bad at once. The estimate of the slow one has
    # a third of the error, so that it bets well on small differences, which is
    # what a slowly worsening version shows first.
    return EProcess(), EProcess(smoothing=0.005, gains_per_start=256)


@attrs.frozen
class Margins:
    """How much worse than the baseline counts, for one measure.

    ``harm`` is the difference of means above which the version is bad, and
    ``no_harm`` the one that is excluded before a step is advanced, by step;
    the last value holds for further steps. The more callers a step exposes,
    the smaller the difference that it must exclude.
    """

    harm: float
    no_harm: tuple[float, ...]

    def no_harm_at(self, step: int) -> float:
        """Margin that is excluded before ``step`` is left."""
        return self.no_harm[min(step, len(self.no_harm) - 1)]


@attrs.define
class Comparison:
    """Both tests of one measure: of harm, and of no harm beyond a margin."""

    margins: Margins
    step: int = 0
    _harm: tuple[EProcess, ...] = attrs.field(factory=_harm_processes)
    no_harm: EProcess = attrs.field(factory=EProcess)

    @property
    def harm(self) -> float:
        """E-value of harm: the mean of those of two ways to bet."""
        return sum(process.value for process in self._harm) / len(self._harm)

    def update(self, loss: float) -> None:
        """Count by how much one request was worse than the baseline.

        ``loss`` is from -1 to 1.
        """
        # Divided by the range, so that no gain is below -1.
        harm = self.margins.harm
        for process in self._harm:
            process.update((loss - harm) / (1 + harm))
        margin = self.margins.no_harm_at(self.step)
        self.no_harm.update((margin - loss) / (1 + margin))

    def start_step(self, step: int) -> None:
        """Ask for new evidence of no harm, with the margin of ``step``."""
        self.step = step
        self.no_harm = EProcess()
