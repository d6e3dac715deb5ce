"""Entry point that runs one router until a stop signal."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

from damaskrill.configuration import Settings
from damaskrill.monitoring import configure_logging
from damaskrill.runtime._process import RouterProcess

__all__ = ["run_in_reactor", "serve"]

EXIT_FAILURE = 1


def run_in_reactor(work: Coroutine[Any, Any, int]) -> int:
    """Run a coroutine under Twisted's reactor on a new asyncio event loop.

    Parameters
    ----------
    work : coroutine
        Coroutine that returns an exit status.

    Returns
    -------
    int
        The exit status.
    """
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import defer, reactor

    runner: Any = reactor
    statuses: list[int] = []
    failures: list[BaseException] = []

    def finish(result: Any) -> None:
        if isinstance(result, int):
            statuses.append(result)
        else:
            failures.append(result.value)
        runner.stop()

    def start() -> None:
        task = loop.create_task(work)
        defer.Deferred.fromFuture(task).addBoth(finish)

    runner.callWhenRunning(start)
    runner.run(installSignalHandlers=False)
    if failures:
        raise failures[0]
    return statuses[0] if statuses else EXIT_FAILURE


def serve(settings: Settings) -> int:
    """Run one router until SIGTERM or SIGINT; a second signal ends it immediately.

    Parameters
    ----------
    settings : Settings
        Settings of the process.

    Returns
    -------
    int
        0 after a graceful stop.
    """
    configure_logging(level=settings.log_level)
    return run_in_reactor(_serve(settings))


async def _serve(settings: Settings) -> int:
    from twisted.internet import reactor

    process = RouterProcess(settings=settings, reactor=reactor)
    await process.start()
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    first_signal = loop.create_task(signals.get())
    failed = loop.create_task(process.wait_until_failed())
    await asyncio.wait([first_signal, failed], return_when=asyncio.FIRST_COMPLETED)
    if failed.done():
        return EXIT_FAILURE
    stopping = loop.create_task(process.stop())
    second_signal = loop.create_task(signals.get())
    await asyncio.wait([stopping, second_signal], return_when=asyncio.FIRST_COMPLETED)
    return 0 if stopping.done() else EXIT_FAILURE
