"""Name the errors by which grpclib tells that a call was lost."""

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
