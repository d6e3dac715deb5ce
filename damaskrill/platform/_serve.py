"""One router process on the platform, from its settings file to its exit status."""

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from damaskrill.platform._fields import SETTINGS_VARIABLE
from damaskrill.platform._settings import read_platform_settings

if TYPE_CHECKING:
    from damaskrill.eventlog import DecisionLog
    from damaskrill.gateway import GatewaySettings

__all__ = ["serve"]

EXIT_INVALID = 2
STDOUT = 1


def serve(
    settings: str = "",
    *,
    listeners: Mapping[tuple[str, int], socket.socket] | None = None,
    signals: Mapping[int, float] | None = None,
) -> int:
    """Run one router until SIGTERM.

    Parameters
    ----------
    settings : str, default=""
        Settings file of the platform. If empty, its path is read from the environment
        variable of the platform.
    listeners : mapping, default=None
        Listening sockets that are already open, by address.
    signals : mapping of int to float, default=None
        Signals that the process has received before, and when, on the monotonic clock
        in milliseconds; more may follow until it runs.

    Returns
    -------
    int
        Exit status: 0 after a graceful stop, 2 if the settings cannot be used.
    """
    from damaskrill.eventlog import DecisionLog, LineSink, configure_decision_log
    from damaskrill.gateway import UnreadableSettingsError
    from damaskrill.utils import SystemClock

    path = settings or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        loaded = read_platform_settings(path)
    except UnreadableSettingsError as error:
        print(f"damaskrill: {error}", file=sys.stderr)
        return EXIT_INVALID
    configure_decision_log(LineSink(descriptor=STDOUT))
    log = DecisionLog(router=loaded.name, clock=SystemClock())
    return _run_process(loaded, path, log, listeners or {}, signals)


def _run_process(
    settings: "GatewaySettings",
    path: str,
    log: "DecisionLog",
    listeners: Mapping[tuple[str, int], socket.socket],
    signals: Mapping[int, float] | None,
) -> int:
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    from damaskrill.gateway._process import GatewayProcess
    from damaskrill.platform._binding import build_platform_binding

    async def main() -> None:
        process = GatewayProcess(
            settings=settings,
            binding=build_platform_binding(
                reactor=reactor, address=settings.store_address
            ),
            reactor=reactor,
            log=log,
            reread_settings=lambda: read_platform_settings(path),
            listeners=listeners,
        )
        await process.run(signals)

    running: Any = reactor
    running.startRunning(installSignalHandlers=False)
    loop.run_until_complete(main())
    _ignore_signals(loop)
    return 0


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    # The loop and the interpreter would restore the default action, by which a signal
    # during the exit ends the process as if it had crashed.
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.pthread_sigmask(signal.SIG_BLOCK, (number,))
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
