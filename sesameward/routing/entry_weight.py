"""Compute the weight at which an entry is advertised from its load."""

from __future__ import annotations

# The load is averaged over about this time.
SMOOTHING_S = 2.0
# The load must have been lower for this long before the weight is raised.
RAISE_AFTER_S = 5.0
FULL_WEIGHT = 1.0

# Pairs of the highest load and the weight that applies up to it. The load is
# the number of requests in the entry divided by the number that may run at
# once. Above the last step the weight is 0, which leaves the entry out of the
# addresses given to callers.
WEIGHT_STEPS = ((1.0, FULL_WEIGHT), (2.0, 0.5), (3.0, 0.25))


class EntryWeight:
    """Derive an entry's weight from its smoothed load.

    The weight is lowered as soon as the load rises, but raised only after a
    delay, so that it doesn't change often.
    """

    def __init__(self):
        self.value = FULL_WEIGHT
        self._load = 0.0
        self._updated_at: float | None = None
        self._raise_wanted_since: float | None = None

    def update(self, load: float, now: float) -> float:
        """Record the current load and return the resulting weight."""
        self._smooth(load, now)
        new_value = _weight_at(self._load)
        if new_value <= self.value:
            self.value = new_value
            self._raise_wanted_since = None
        elif self._raise_wanted_since is None:
            self._raise_wanted_since = now
        elif now - self._raise_wanted_since >= RAISE_AFTER_S:
            self.value = new_value
            self._raise_wanted_since = None
        return self.value

    def _smooth(self, load: float, now: float) -> None:
        age_s = (
            SMOOTHING_S if self._updated_at is None else now - self._updated_at
        )
        weight = min(age_s / SMOOTHING_S, 1.0)
        self._load += weight * (load - self._load)
        self._updated_at = now


def _weight_at(load: float) -> float:
    for max_load, weight in WEIGHT_STEPS:
        if load <= max_load:
            return weight
    return 0.0
