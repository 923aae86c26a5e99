"""Divide the requests of a split route among services by weight.

Smooth weighted round-robin: each request adds to the credit of every service
the weight of that service. The service with the most credit is chosen, and the
sum of all weights is deducted from its credit.
"""

from __future__ import annotations

from ..types import ServiceName
from .routes import RouteName
from .routes import Split


class Splits:
    """Choose services of split routes by smooth weighted round-robin.

    So even a few requests in a row are divided in proportion to the weights.
    """

    def __init__(self):
        self._credits: dict[RouteName, tuple[Split, list[float]]] = {}

    def pick(self, route: RouteName, split: Split) -> ServiceName:
        """Return the service that the route's next request is sent to."""
        state = self._credits.get(route)
        if state is None or state[0] != split:
            state = split, [0.0 for _ in split.parts]
            self._credits[route] = state
        credit = state[1]
        total = sum(part.weight for part in split.parts)
        for index, part in enumerate(split.parts):
            credit[index] += part.weight
        best = max(range(len(credit)), key=credit.__getitem__)
        credit[best] -= total
        return split.parts[best].service

    def retain(self, routes: set[RouteName]) -> None:
        """Drop the credits of all routes except the given ones."""
        for route in self._credits.keys() - routes:
            del self._credits[route]
