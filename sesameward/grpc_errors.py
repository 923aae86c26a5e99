"""List the exceptions by which a gRPC call over grpclib can fail."""

from __future__ import annotations

import asyncio

from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError
import msgspec

LOST = (
    asyncio.TimeoutError,
    GRPCError,
    msgspec.MsgspecError,
    OSError,
    ProtocolError,
    StreamTerminatedError,
)
