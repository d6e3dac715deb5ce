"""Event loop on a virtual clock: waiting takes no time."""

import asyncio
import selectors


class _VirtualSelector(selectors.SelectSelector):
    """Selector that advances a clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock advances to the next timer at once."""

    def __init__(self):
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now_s

    @property
    def now_ms(self):
        """Virtual time in milliseconds."""
        return round(self.time() * 1_000)
