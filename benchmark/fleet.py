"""Run asyncio code on a virtual clock that skips waits."""

from __future__ import annotations

import asyncio
import selectors


class _VirtualClockSelector(selectors.SelectSelector):
    """Poll sockets without waiting; advance a virtual clock instead."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Advance the clock by the timeout and return at once."""
        if timeout is not None and timeout > 0.0:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run callbacks on a clock that jumps to the next timer."""

    def __init__(self):
        self._virtual_clock = _VirtualClockSelector()
        super().__init__(self._virtual_clock)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_clock.now


def run(main) -> object:
    """Run a coroutine in virtual time; return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
