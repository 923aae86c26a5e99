"""Count the steps in which a backtracking matcher applies a pattern.

The time of a match says little on a busy machine. The number of steps depends
on the pattern and the text alone. The order of the attempts is that of the re
module, without its shortcuts, so the count is an upper bound of its work.
"""

# The parser of the re module has no public name.
from re import _constants as ops
from re import _parser as parser
import sys

# A matcher calls itself for each repetition.
RECURSION_LIMIT = 20_000

_CATEGORIES = {
    ops.CATEGORY_DIGIT: b'0123456789',
    ops.CATEGORY_SPACE: b' \t\n\r\f\v',
}


class _Matcher:
    """Match a text against parsed patterns, and count the attempts."""

    def __init__(self, text):
        self.text = text
        self.steps = 0

    def match(self, nodes, at, then):
        """Match nodes at a position; call then with the position after."""
        self.steps += 1
        if not nodes:
            return then(at)
        (op, value), rest = nodes[0], nodes[1:]

        def go_on(end):
            return self.match(rest, end, then)

        match op:
            case ops.SUBPATTERN:
                return self.match(list(value[3]), at, go_on)
            case ops.BRANCH:
                return any(
                    self.match(list(branch), at, go_on) for branch in value[1]
                )
            case ops.MAX_REPEAT:
                return self._repeat(*value, at, go_on, 0)
            case ops.ASSERT | ops.ASSERT_NOT:
                direction, inner = value
                start = at if direction > 0 else at - inner.getwidth()[0]
                found = start >= 0 and self.match(
                    list(inner), start, lambda end: True
                )
                return found is (op is ops.ASSERT) and go_on(at)
            case ops.AT:
                is_there = {
                    ops.AT_BEGINNING: at == 0,
                    ops.AT_BEGINNING_STRING: at == 0,
                    ops.AT_END_STRING: at == len(self.text),
                }[value]
                return is_there and go_on(at)
        return (
            at < len(self.text)
            and _accepts(op, value, self.text[at])
            and go_on(at + 1)
        )

    def _repeat(self, least, most, inner, at, then, count):
        self.steps += 1

        def repeat_again(end):
            if end == at and count >= least:
                return False
            return self._repeat(least, most, inner, end, then, count + 1)

        if count < most and self.match(list(inner), at, repeat_again):
            return True
        return count >= least and then(at)


def _accepts(op, value, char):
    match op:
        case ops.LITERAL:
            return char == value
        case ops.NOT_LITERAL:
            return char != value
        case ops.ANY:
            return True
        case ops.RANGE:
            return value[0] <= char <= value[1]
        case ops.CATEGORY:
            return char in _CATEGORIES[value]
        case ops.IN:
            is_negated = value[0][0] is ops.NEGATE
            return is_negated is not any(
                _accepts(*one, char) for one in value[is_negated:]
            )
    raise NotImplementedError(op)


def full_match(pattern, text):
    """Return whether a pattern matches the whole text, and the steps."""
    if isinstance(text, str):
        text = text.encode('latin-1')
    nodes = list(parser.parse(pattern.pattern, pattern.flags))
    matcher = _Matcher(text)
    limit = sys.getrecursionlimit()
    sys.setrecursionlimit(max(limit, RECURSION_LIMIT))
    try:
        found = matcher.match(nodes, 0, lambda end: end == len(text))
    finally:
        sys.setrecursionlimit(limit)
    return bool(found), matcher.steps
