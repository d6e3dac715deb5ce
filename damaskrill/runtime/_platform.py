"""Reader of the operators' text and the host list, which the platform publishes."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from twisted.web.client import readBody

from damaskrill.messages import (
    HostEntry,
    HostListRead,
    Message,
    ReadHostList,
    ReadText,
    TextRead,
    TextReadFailed,
)

__all__ = ["PlatformReader"]

READ_TIMEOUT_S = 3.0
STATUS_OK = 200
STATUS_NO_CONTENT = 204


class PlatformReader:
    """Read text and host list on demand, each read in its own task.

    Parameters
    ----------
    agent : object
        HTTP agent.
    text_url, host_list_url : str
        URLs of the text and the host list.
    post : callable
        Queues a message for the kernel.
    report_failure : callable
        Logs a sentence about a failure.

    Notes
    -----
    The text is requested with ``after_version`` and ``wait_ms``. The answer is 200 with
    the text and its version in the header ``Version``, or 204 if there is no newer
    version. The host list is a JSON array of objects with ``address``,
    ``data_centre``, ``role`` and ``leaving``.
    """

    def __init__(
        self,
        *,
        agent: Any,
        text_url: str,
        host_list_url: str,
        post: Callable[[Message], object],
        report_failure: Callable[[str], None],
    ) -> None:
        self._agent = agent
        self._text_url = text_url
        self._host_list_url = host_list_url
        self._post = post
        self._report_failure = report_failure
        self._tasks: set[asyncio.Task[Any]] = set()
        self._is_reading_hosts = False

    def stop(self) -> None:
        """Cancel all reads."""
        for task in list(self._tasks):
            task.cancel()

    def read_text(self, effect: ReadText) -> None:
        """Start reading or watching the text."""
        self._spawn(self._read_text(effect))

    def read_hosts(self, effect: ReadHostList) -> None:
        """Start reading the host list unless a read is pending."""
        if not self._is_reading_hosts:
            self._spawn(self._read_hosts())

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_text(self, effect: ReadText) -> None:
        query = f"after_version={effect.after_version}&wait_ms={effect.wait_ms}"
        timeout_s = READ_TIMEOUT_S + effect.wait_ms / 1_000
        try:
            status, headers, content = await self._fetch(
                f"{self._text_url}?{query}", timeout_s
            )
            if status == STATUS_NO_CONTENT:
                self._post(TextReadFailed(reason="no newer version"))
                return
            version = int(headers.getRawHeaders("Version")[0])
        except Exception as error:
            reason = (
                f"the configuration service did not answer: {_describe_error(error)}"
            )
            self._report_failure(reason)
            self._post(TextReadFailed(reason=reason))
            return
        self._post(TextRead(version=version, content=content))

    async def _read_hosts(self) -> None:
        self._is_reading_hosts = True
        try:
            _, _, content = await self._fetch(self._host_list_url, READ_TIMEOUT_S)
            hosts = tuple(_parse_host_entry(each) for each in json.loads(content))
        except Exception as error:
            self._report_failure(
                f"the host list could not be read: {_describe_error(error)}"
            )
            return
        finally:
            self._is_reading_hosts = False
        self._post(HostListRead(hosts=hosts))

    async def _fetch(self, url: str, timeout_s: float) -> tuple[int, Any, bytes]:
        async with asyncio.timeout(timeout_s):
            loop = asyncio.get_running_loop()
            request = self._agent.request(b"GET", url.encode("ascii"))
            response: Any = await request.asFuture(loop)
            content: bytes = await readBody(response).asFuture(loop)
        if response.code not in (STATUS_OK, STATUS_NO_CONTENT):
            raise OSError(f"status {response.code}")
        return response.code, response.headers, content


def _parse_host_entry(content: dict[str, Any]) -> HostEntry:
    return HostEntry(
        address=str(content["address"]),
        data_centre=str(content["data_centre"]),
        role=str(content.get("role", "router")),
        leaving=bool(content.get("leaving", False)),
    )


def _describe_error(error: Exception) -> str:
    reasons = getattr(error, "reasons", None)
    cause = reasons[0].value if reasons else error
    return f"{type(cause).__name__} {cause}".strip()[:200]
