"""Reader of the load reports and cache events of backend servers."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from twisted.web.client import readBody

from damaskrill.messages import CacheEvents, LoadReported, Message, ReadLoad
from damaskrill.utils import Clock

__all__ = ["ReportReader"]

REPORT_PATH = "/v1/load"
REPORT_TIMEOUT_S = 2.0


class ReportReader:
    """Read a report for each ``ReadLoad``, with one pending read per server.

    Parameters
    ----------
    agent : object
        HTTP agent with persistent connections.
    clock : Clock
        Source of the current time.
    post : callable
        Queues a message for the kernel.

    Notes
    -----
    A report is a JSON object with ``start_id``, ``load``, ``n_finished``, ``age_ms``
    and, for engines, ``cache_events``: a list of objects with ``sequence``,
    ``stored`` and ``removed``. A report that cannot be read is dropped; the kernel
    detects that it is missing.
    """

    def __init__(
        self, *, agent: Any, clock: Clock, post: Callable[[Message], object]
    ) -> None:
        self._agent = agent
        self._clock = clock
        self._post = post
        self._reads: dict[str, asyncio.Task[None]] = {}
        self._n_failed = 0

    @property
    def n_failed(self) -> int:
        """Number of reports that could not be read."""
        return self._n_failed

    def read(self, effect: ReadLoad) -> None:
        """Start reading a server's report."""
        name = effect.backend_server
        if name in self._reads:
            return
        task = asyncio.get_running_loop().create_task(self._read(effect))
        self._reads[name] = task
        task.add_done_callback(lambda _: self._reads.pop(name, None))

    def stop(self) -> None:
        """Cancel all reads."""
        for task in list(self._reads.values()):
            task.cancel()

    async def _read(self, effect: ReadLoad) -> None:
        try:
            content = await asyncio.wait_for(
                self._fetch(effect.address), REPORT_TIMEOUT_S
            )
            messages = self._convert(effect.backend_server, json.loads(content))
        except Exception:
            self._n_failed += 1
            return
        for message in messages:
            self._post(message)

    async def _fetch(self, address: str) -> bytes:
        loop = asyncio.get_running_loop()
        url = f"http://{address}{REPORT_PATH}".encode("ascii")
        response: Any = await self._agent.request(b"GET", url).asFuture(loop)
        content: bytes = await readBody(response).asFuture(loop)
        return content

    def _convert(self, name: str, report: dict[str, Any]) -> list[Message]:
        age_ms = int(report.get("age_ms", 0))
        messages: list[Message] = [
            LoadReported(
                backend_server=name,
                start_id=str(report["start_id"]),
                load=int(report["load"]),
                measured_at_ms=self._clock.now_ms - age_ms,
                n_finished=int(report.get("n_finished", 0)),
            )
        ]
        for event in report.get("cache_events", ()):
            messages.append(
                CacheEvents(
                    backend_server=name,
                    sequence=int(event["sequence"]),
                    stored=tuple(int(each) for each in event.get("stored", ())),
                    removed=tuple(int(each) for each in event.get("removed", ())),
                )
            )
        return messages
