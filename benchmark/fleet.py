"""Run asyncio code in virtual time."""

from __future__ import annotations

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Advance the clock in place of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return at once; move the clock to the next timer."""
        if timeout is not None and timeout > 0.0:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Keep a clock which jumps to the next timer."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now


def run(main) -> object:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
