"""Encode the gRPC messages between sesameward's processes."""

from __future__ import annotations

from grpclib.encoding.base import CodecBase
import msgspec


class MsgpackCodec(CodecBase):
    """Encode msgspec structs as MessagePack for grpclib."""

    __content_subtype__ = 'msgpack'

    def __init__(self):
        self._decoders: dict[type, msgspec.msgpack.Decoder] = {}

    def encode(self, message: object, message_type: object) -> bytes:
        """Return the message as MessagePack."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: type) -> object:
        """Return the decoded message; raise msgspec.DecodeError."""
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders[message_type] = decoder
        return decoder.decode(data)
