"""Fake configuration service and host list with an HTTP interface."""

import json
from typing import Any

from damaskrill.fakes._configuration import FakeConfigurationService
from damaskrill.fakes._host_list import FakeHostList
from damaskrill.fakes._http_base import HttpFake
from damaskrill.utils import Clock

__all__ = ["HttpFakePlatform"]

WATCH_POLL_S = 0.02


class HttpFakePlatform(HttpFake):
    """HTTP interface with ``/text`` (read and watch) and ``/hosts``.

    Parameters
    ----------
    configuration : FakeConfigurationService
        The text and its versions.
    host_list : FakeHostList
        The hosts.
    clock : Clock
        Source of the time.
    reactor : object
        Twisted's reactor.
    """

    def __init__(
        self,
        *,
        configuration: FakeConfigurationService,
        host_list: FakeHostList,
        clock: Clock,
        reactor: Any,
    ) -> None:
        super().__init__(reactor=reactor)
        self._configuration = configuration
        self._host_list = host_list
        self._clock = clock

    @property
    def configuration(self) -> FakeConfigurationService:
        """The text and its versions."""
        return self._configuration

    @property
    def host_list(self) -> FakeHostList:
        """The hosts."""
        return self._host_list

    @property
    def text_url(self) -> str:
        """URL of the text."""
        return f"http://{self.address}/text"

    @property
    def host_list_url(self) -> str:
        """URL of the host list."""
        return f"http://{self.address}/hosts"

    def handle(self, request: Any) -> None:
        """Answer one request."""
        if request.path == b"/hosts":
            self._serve_hosts(request)
            return
        after_version = self.query(request, "after_version")
        ends_at_ms = self._clock.now_ms + self.query(request, "wait_ms")
        self._configuration.n_calls += 1
        self._serve_text(request, after_version, ends_at_ms)

    def _serve_hosts(self, request: Any) -> None:
        hosts = self._host_list.read(self._clock.now_ms).hosts
        content = [
            {
                "address": each.address,
                "data_centre": each.data_centre,
                "role": each.role,
                "leaving": each.leaving,
            }
            for each in hosts
        ]
        self.answer(request, 200, json.dumps(content).encode())

    def _serve_text(self, request: Any, after_version: int, ends_at_ms: int) -> None:
        if request._disconnected:
            return
        # A long poll counts as one call, however often it reads the text.
        n_calls = self._configuration.n_calls
        text = self._configuration.read()
        self._configuration.n_calls = n_calls
        if text is not None and (text.version > after_version or not after_version):
            headers = {"Version": str(text.version)}
            self.answer(
                request, 200, text.content, content_type="text/plain", headers=headers
            )
        elif text is None and self._configuration.is_down:
            request.transport.abortConnection()
        elif self._clock.now_ms >= ends_at_ms:
            request.setResponseCode(204)
            request.finish()
        else:
            self._reactor.callLater(
                WATCH_POLL_S, self._serve_text, request, after_version, ends_at_ms
            )
