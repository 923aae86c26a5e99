"""Divide the requests of a split route exactly by weight."""

from __future__ import annotations

from ..types import ServiceName
from .routes import RouteName
from .routes import Split


class Splits:
    """Give each part its share of any run of requests."""

    def __init__(self):
        self._credits: dict[RouteName, tuple[Split, list[float]]] = {}

    def pick(self, route: RouteName, split: Split) -> ServiceName:
        """Return the service of the next request."""
        known = self._credits.get(route)
        if known is None or known[0] != split:
            known = split, [0.0 for _ in split.parts]
            self._credits[route] = known
        credit = known[1]
        total = sum(part.weight for part in split.parts)
        for at, part in enumerate(split.parts):
            credit[at] += part.weight
        best = max(range(len(credit)), key=credit.__getitem__)
        credit[best] -= total
        return split.parts[best].service

    def keep(self, routes: set[RouteName]) -> None:
        """Forget all routes but these."""
        for route in self._credits.keys() - routes:
            del self._credits[route]
