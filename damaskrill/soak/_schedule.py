"""Actions of a soak test that are due later."""

import asyncio
from collections.abc import Awaitable, Callable

__all__ = ["Schedule"]


class Schedule:
    """Actions that are cancelled together when the soak ends."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def call_later(self, delay_s: float, action: Callable[[], object]) -> None:
        """Call a function after a delay, in seconds."""

        async def call() -> None:
            action()

        self.run_later(delay_s, call)

    def run_later(self, delay_s: float, action: Callable[[], Awaitable[None]]) -> None:
        """Await a coroutine after a delay, in seconds."""

        async def run() -> None:
            await asyncio.sleep(delay_s)
            await action()

        self._tasks.append(asyncio.get_running_loop().create_task(run()))

    async def cancel(self) -> None:
        """Cancel the actions that are still due."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
