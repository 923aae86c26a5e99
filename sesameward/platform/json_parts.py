"""Split JSON text into the values that it holds, without decoding them.

Decoders refuse a text as a whole if one value in it is invalid or nested too
deeply. Here nesting is counted, so its depth does not matter.
"""

from __future__ import annotations

import re

import msgspec

# A string, a run of opening or closing brackets, or a comma. A string without
# an end takes the rest of the text, so that no part is searched twice.
_TOKEN = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*(?:"|\\?\Z)|[\[{]+|[\]}]+|,', re.DOTALL
)


def elements(text: bytes) -> list[bytes]:
    """Return the text of each element of an array, or member of an object.

    Raise msgspec.DecodeError if the text is neither, or is incomplete.
    """
    parts: list[bytes] = []
    depth = 0
    part_start = 0
    for token in _TOKEN.finditer(text):
        count = token.end() - token.start()
        match text[token.start() : token.start() + 1]:
            case b'[' | b'{':
                if depth == 0:
                    part_start = token.start() + 1
                depth += count
            case b']' | b'}':
                if 0 < depth <= count:
                    end = token.start() + depth - 1
                    parts.append(text[part_start:end].strip())
                    return [part for part in parts if part]
                depth -= count
            case b',' if depth == 1:
                parts.append(text[part_start : token.start()].strip())
                part_start = token.end()
        if depth <= 0:
            break
    raise msgspec.DecodeError('the text is no complete array or object')


def members(text: bytes) -> dict[str, bytes]:
    """Return the text of each member's value of an object, by its name.

    Members whose names can't be decoded are left out. Raise
    msgspec.DecodeError if the text is no complete object.
    """
    found: dict[str, bytes] = {}
    for member in elements(text):
        name = _TOKEN.match(member)
        if name is None:
            raise msgspec.DecodeError('the text is no object')
        _, colon, value = member[name.end() :].partition(b':')
        if not colon:
            raise msgspec.DecodeError('the text is no object')
        try:
            found[msgspec.json.decode(name.group(), type=str)] = value
        except msgspec.DecodeError:
            continue
    return found
