"""Encode the messages between sesameward's processes."""

from __future__ import annotations

from grpclib.encoding.base import CodecBase
import msgspec


class MsgpackCodec(CodecBase):
    """Carry msgspec structs as msgpack over grpclib."""

    __content_subtype__ = 'msgpack'

    def __init__(self):
        self._decoders: dict[type, msgspec.msgpack.Decoder] = {}

    def encode(self, message: object, message_type: object) -> bytes:
        """Return the message as msgpack."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: type) -> object:
        """Return the message; raise msgspec.DecodeError."""
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders[message_type] = decoder
        return decoder.decode(data)
