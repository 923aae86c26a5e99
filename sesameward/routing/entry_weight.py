"""Decide how many callers an entry wants for its load."""

from __future__ import annotations

SMOOTHING_S = 2.0
RAISE_AFTER_S = 5.0
FULL_WEIGHT = 1.0

# Loads are requests inside over those which may run at once; the weight of
# the last step leaves the entry out of the addresses.
STEPS = ((1.0, FULL_WEIGHT), (2.0, 0.5), (3.0, 0.25))


class EntryWeight:
    """Lower the weight at once, raise it late, and change it seldom."""

    def __init__(self):
        self.value = FULL_WEIGHT
        self._load = 0.0
        self._at: float | None = None
        self._lower_since: float | None = None

    def update(self, load: float, now: float) -> float:
        """Take in the load at the moment; return the weight."""
        self._smooth(load, now)
        wanted = _weight_at(self._load)
        if wanted <= self.value:
            self.value = wanted
            self._lower_since = None
        elif self._lower_since is None:
            self._lower_since = now
        elif now - self._lower_since >= RAISE_AFTER_S:
            self.value = wanted
            self._lower_since = None
        return self.value

    def _smooth(self, load: float, now: float) -> None:
        age_s = SMOOTHING_S if self._at is None else now - self._at
        part = min(age_s / SMOOTHING_S, 1.0)
        self._load += part * (load - self._load)
        self._at = now


def _weight_at(load: float) -> float:
    for limit, weight in STEPS:
        if load <= limit:
            return weight
    return 0.0
