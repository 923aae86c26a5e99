"""Run a node that reaches every target at an address of the node's own.

The environment variable SESAMEWARD_LINK_HOST names a loopback address that
replaces the host of each registered target. links.py listens there.
"""

from __future__ import annotations

import os
import sys

import msgspec

from ..messages import StoredObject
from ..platform import __main__ as program
from ..platform import objects
from ..serving.targets import Target

LINK_HOST_VARIABLE = 'SESAMEWARD_LINK_HOST'


class _LinkedDecoder(objects.ObjectDecoder):
    def target(self, stored: StoredObject) -> Target:
        """Return the registered target with the address of its link."""
        return msgspec.structs.replace(
            super().target(stored), host=os.environ[LINK_HOST_VARIABLE]
        )


if __name__ == '__main__':
    objects.ObjectDecoder = _LinkedDecoder
    sys.exit(program.main())
