"""Find the organisation that a caller's key belongs to."""

from __future__ import annotations

import enum
import typing

from ..serving.routes import Organisation
from ..serving.routes import RouteTable


class KeyRefusal(enum.Enum):
    """Reason why a request has no organisation though it needs one.

    UNKNOWN: it has no key, several keys, or one that no organisation has.
    STALE: a key may have been withdrawn without this node knowing.
    """

    UNKNOWN = 'unknown_key'
    STALE = 'stale_keys'


class Identity:
    """Find organisations by key in the configuration in force.

    Keys are used only while the configuration was known to be the newest at
    most max_age_s ago.
    """

    def __init__(self, max_age_s: float):
        self._max_age_s = max_age_s
        self._table: RouteTable | None = None
        self._organisations: dict[bytes, Organisation] = {}

    def identify(
        self,
        table: RouteTable,
        api_keys: typing.Sequence[bytes],
        age_s: float,
    ) -> Organisation | KeyRefusal:
        """Return the organisation of a request that has the given keys.

        age_s is the time since the table was last known to be the newest.
        """
        if age_s > self._max_age_s:
            return KeyRefusal.STALE
        if len(api_keys) != 1:
            return KeyRefusal.UNKNOWN
        if table is not self._table:
            self._read(table)
        return self._organisations.get(api_keys[0], KeyRefusal.UNKNOWN)

    def _read(self, table: RouteTable) -> None:
        self._table = table
        self._organisations = {}
        for organisation in table.organisations or ():
            for key in organisation.keys:
                if key:
                    # A key of two organisations belongs to the first one.
                    self._organisations.setdefault(key.encode(), organisation)
