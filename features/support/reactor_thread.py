"""Twisted reactor in its own thread, for steps that need sockets."""

import asyncio
import threading

from twisted.internet import asyncioreactor

STEP_TIMEOUT_S = 60


class ReactorThread:
    """Run coroutines of steps on the reactor's event loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        asyncioreactor.install(self.loop)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        from twisted.internet import reactor

        asyncio.set_event_loop(self.loop)
        reactor.run(installSignalHandlers=False)

    def run(self, work, timeout_s=STEP_TIMEOUT_S):
        """Run a coroutine and return its result."""
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        try:
            return future.result(timeout_s)
        except TimeoutError:
            future.cancel()
            raise


_threads = []


def get_reactor_thread():
    """Return the reactor thread of this process, which is started on first use."""
    if not _threads:
        _threads.append(ReactorThread())
    return _threads[0]
