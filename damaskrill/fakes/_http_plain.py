"""Fake plain service with an HTTP interface."""

import json
from typing import Any

from damaskrill.fakes._http_base import HttpFake
from damaskrill.fakes._plain import FakePlainService

__all__ = ["HttpFakePlainService"]


class HttpFakePlainService(HttpFake):
    """HTTP interface of a ``FakePlainService``.

    Parameters
    ----------
    service : FakePlainService
        Runs the actions and counts the runs.
    reactor : object
        Twisted's reactor.

    Attributes
    ----------
    delay_ms : int
        Duration of a call, in milliseconds.
    status : int
        Status of the answers to calls that were run.
    drops_next_reply : bool
        Whether the next call is run and its connection then aborted, once.
    """

    def __init__(self, *, service: FakePlainService, reactor: Any) -> None:
        super().__init__(reactor=reactor)
        self._service = service
        self._load = 0
        self.delay_ms = 5
        self.status = 200
        self.drops_next_reply = False

    @property
    def service(self) -> FakePlainService:
        """Record of the runs."""
        return self._service

    def handle(self, request: Any) -> None:
        """Answer one request."""
        if request.path == b"/v1/load":
            content = {
                "start_id": f"{self._service.name}-1",
                "load": self._load,
                "n_finished": sum(self._service.runs.values()),
            }
            self.answer(request, 200, json.dumps(content).encode())
            return
        self._load += 1
        body = request.content.read()
        key = self.header(request, "Idempotency-Key")
        fencing_number = int(self.header(request, "Fencing-Number") or 0)
        key = key or self.header(request, "X-Request-Id")
        was_run = self._service.run(key=key, fencing_number=fencing_number)
        delay_s = self.delay_ms / 1_000
        self._reactor.callLater(delay_s, self._reply, request, body, key, was_run)

    def _reply(self, request: Any, body: bytes, key: str, was_run: bool) -> None:
        self._load -= 1
        if not was_run:
            self.answer(request, 409, b"{}", headers={"Not-Run": "true"})
            return
        if self.drops_next_reply:
            self.drops_next_reply = False
            request.transport.abortConnection()
            return
        if request._disconnected:
            return
        content = {
            "service": self._service.name,
            "n_runs": self._service.runs[key],
            "n_body_bytes": len(body),
        }
        self.answer(request, self.status, json.dumps(content).encode())
