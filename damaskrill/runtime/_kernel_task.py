"""Task that runs the kernel on a bounded message queue."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from damaskrill.kernel import FleetViewDecider, RouterKernel
from damaskrill.messages import FleetView, Message, Tick
from damaskrill.utils import Clock

__all__ = ["InputRecorder", "KernelTask"]

TICK_INTERVAL_S = 0.1
# Messages handled before the event loop runs other tasks.
MAX_MESSAGES_PER_BATCH = 64


class InputRecorder(Protocol):
    """Recorder of the inputs of a kernel."""

    def record_input(self, message: Message, at_ms: int) -> None:
        """Record a message before the kernel handles it."""

    def close(self) -> None:
        """Flush the buffer and close the output."""


class KernelTask:
    """Run a kernel on the messages of a bounded queue.

    Parameters
    ----------
    kernel : RouterKernel
        Kernel that handles the messages.
    clock : Clock
        Source of the current time.
    run_effect : callable
        Executes an effect at a given time; must not block.
    publish_view : callable
        Called with the fleet view each time it is replaced.
    report_error : callable
        Called with an exception raised by a decider or an effect, and the message.
    max_queue_length : int, default=20000
        Maximum number of queued messages.
    recorder : InputRecorder, default=None
        Recorder of a trace.
    """

    def __init__(
        self,
        *,
        kernel: RouterKernel,
        clock: Clock,
        run_effect: Callable[[Message, int], None],
        publish_view: Callable[[FleetView], None],
        report_error: Callable[[Exception, Message], None],
        max_queue_length: int = 20_000,
        recorder: InputRecorder | None = None,
    ) -> None:
        self._kernel = kernel
        self._clock = clock
        self._run_effect = run_effect
        self._publish_view = publish_view
        self._report_error = report_error
        self._max_queue_length = max_queue_length
        self._recorder = recorder
        self._queue: deque[Message] = deque()
        self._wake = asyncio.Event()
        self._has_capacity = asyncio.Event()
        self._has_capacity.set()
        self._view: FleetView | None = None
        self._last_now_ms = 0
        self._n_dropped = 0

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def n_dropped(self) -> int:
        """Number of messages dropped because the queue was full."""
        return self._n_dropped

    @property
    def is_overloaded(self) -> bool:
        """Whether the queue is so long that new requests should be refused."""
        return len(self._queue) > self._max_queue_length // 2

    def post(self, message: Message) -> bool:
        """Queue a message; return False if the queue is full."""
        if len(self._queue) >= self._max_queue_length:
            self._n_dropped += 1
            return False
        self._queue.append(message)
        self._wake.set()
        if self.is_overloaded:
            self._has_capacity.clear()
        return True

    async def wait_for_capacity(self) -> None:
        """Wait until the queue is at most half full."""
        await self._has_capacity.wait()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        ticking = asyncio.create_task(self._tick_periodically())
        try:
            while True:
                await self._wake.wait()
                self._process_batch()
                await asyncio.sleep(0)
        finally:
            ticking.cancel()

    def _process_batch(self) -> None:
        for _ in range(min(len(self._queue), MAX_MESSAGES_PER_BATCH)):
            self._decide(self._queue.popleft())
        if not self._queue:
            self._wake.clear()
        if not self.is_overloaded:
            self._has_capacity.set()

    def _decide(self, message: Message) -> None:
        now_ms = max(self._clock.now_ms, self._last_now_ms)
        self._last_now_ms = now_ms
        if self._recorder is not None:
            self._recorder.record_input(message, now_ms)
        try:
            effects = self._kernel.decide(message, now_ms)
        except Exception as error:
            # A message that a decider fails to handle must not end the process.
            self._report_error(error, message)
            return
        self._publish_changed_view()
        for effect in effects:
            try:
                self._run_effect(effect, now_ms)
            except Exception as error:
                self._report_error(error, effect)

    def _publish_changed_view(self) -> None:
        for decider in self._kernel.deciders:
            if isinstance(decider, FleetViewDecider):
                if decider.view is not self._view:
                    self._view = decider.view
                    self._publish_view(decider.view)
                return

    async def _tick_periodically(self) -> None:
        while True:
            self.post(Tick())
            await asyncio.sleep(TICK_INTERVAL_S)
