"""Client that sends attempts to backend servers and reports their results."""

import asyncio
from collections.abc import Callable
from io import BytesIO
from typing import Any

from attrs import frozen
from twisted.internet import error
from twisted.web.client import FileBodyProducer
from twisted.web.http_headers import Headers

from damaskrill.backends._agent import build_agent, build_pool
from damaskrill.backends._answer import EVENT_STREAM, AnswerReceiver
from damaskrill.backends._coalescer import Coalescer
from damaskrill.backends._errors import BackendUnreachableError
from damaskrill.backends._responses import (
    DiscardingProtocol,
    declares_not_run,
    read_header,
    refusal_reason,
)
from damaskrill.configuration import ServiceKind
from damaskrill.messages import (
    BackendEnded,
    BackendFailed,
    BackendFirstToken,
    DispatchAttempt,
    Message,
    OrderEngine,
)
from damaskrill.relay import OutgoingStream
from damaskrill.utils import Clock

__all__ = ["BackendClient", "BackendLimits"]

CHAT_PATH = "/v1/chat/completions"
SERVICE_PATH = "/v1/services/"
ORDER_PATH = "/v1/orders"
RESET_ERRORS = (error.ConnectionLost, error.ConnectionDone, ConnectionResetError)


@frozen(kw_only=True)
class BackendLimits:
    """Limits of calls to backend servers.

    Parameters
    ----------
    connect_timeout_ms : int
        Connection timeout in milliseconds.
    progress_timeout_ms : int
        Longest time without a byte of the answer, in milliseconds.
    coalesce_ms : int
        Longest time that tokens are coalesced, in milliseconds.
    max_chunk_bytes : int
        Size from which a chunk is sent immediately.
    """

    connect_timeout_ms: int = 1_000
    progress_timeout_ms: int = 20_000
    coalesce_ms: int = 20
    max_chunk_bytes: int = 16 * 1024


@frozen(kw_only=True)
class _Dispatch:
    effect: DispatchAttempt
    stream: OutgoingStream
    task: asyncio.Task[None]


class BackendClient:
    """Run each dispatch in its own task.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of the current time.
    limits : BackendLimits
        Timeouts and chunk sizes.
    post : callable
        Queues a message for the kernel.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: Clock,
        limits: BackendLimits,
        post: Callable[[Message], object],
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._post = post
        self._pool = build_pool(reactor, persistent=True)
        timeout_ms = limits.connect_timeout_ms
        self._agent = build_agent(reactor, self._pool, connect_timeout_ms=timeout_ms)
        self._nonpersistent_agent = build_agent(
            reactor,
            build_pool(reactor, persistent=False),
            connect_timeout_ms=timeout_ms,
        )
        self._coalescer = Coalescer(delay_ms=limits.coalesce_ms)
        self._dispatches: dict[str, _Dispatch] = {}

    def __len__(self) -> int:
        return len(self._dispatches)

    @property
    def agent(self) -> Any:
        """Agent with persistent connections, for reads that may be retried."""
        return self._agent

    def dispatch(
        self,
        effect: DispatchAttempt,
        *,
        body: bytes,
        kind: ServiceKind,
        stream: OutgoingStream,
    ) -> None:
        """Send a request to a backend server.

        Parameters
        ----------
        effect : DispatchAttempt
            Request to send, with the address of the backend server.
        body : bytes
            Body of the request.
        kind : ServiceKind
            Kind of the service.
        stream : OutgoingStream
            Destination of the answer's bytes.
        """
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._run(effect, body, kind, stream))
        self._dispatches[effect.attempt_id] = _Dispatch(
            effect=effect, stream=stream, task=task
        )

    def cancel(self, attempt_id: str) -> None:
        """Cancel a dispatch; its result is not reported to the kernel."""
        dispatch = self._dispatches.pop(attempt_id, None)
        if dispatch is not None:
            dispatch.stream.abandon()
            dispatch.task.cancel()

    async def send_order(self, effect: OrderEngine) -> int:
        """Send an order to an engine and return the HTTP status.

        Raises
        ------
        BackendUnreachableError
            If the engine cannot be reached.
        """
        loop = asyncio.get_running_loop()
        query = "&".join(
            f"{name}={getattr(effect, name)}"
            for name in ("model", "adapter", "model_version", "role", "fencing_number")
        )
        url = f"http://{effect.address}{ORDER_PATH}?{query}".encode("ascii", "replace")
        response: Any = await self._agent.request(b"POST", url).asFuture(loop)
        return int(response.code)

    async def stop(self) -> None:
        """Cancel all dispatches and close the connections."""
        for attempt_id in list(self._dispatches):
            self.cancel(attempt_id)
        loop = asyncio.get_running_loop()
        await self._pool.closeCachedConnections().asFuture(loop)

    async def _run(
        self,
        effect: DispatchAttempt,
        body: bytes,
        kind: ServiceKind,
        stream: OutgoingStream,
    ) -> None:
        started_at_ms = self._clock.now_ms
        try:
            response = await self._request(effect, body, kind)
        except BackendUnreachableError as failure:
            self._report_end(
                effect,
                BackendFailed(attempt_id=effect.attempt_id, reason=failure.sentence),
            )
            return
        except TimeoutError:
            self._report_failure(effect, body, "no answer before the deadline")
            return
        except Exception as failure:
            self._report_failure(
                effect, body, _describe_error(failure), _is_reset(failure)
            )
            return
        try:
            end_message = await self._receive(
                effect, body, response, stream, started_at_ms
            )
        except Exception as failure:
            self._report_failure(effect, body, _describe_error(failure))
            return
        self._report_end(effect, end_message)

    async def _request(
        self, effect: DispatchAttempt, body: bytes, kind: ServiceKind
    ) -> Any:
        request = effect.request
        agent = self._agent if request.repeatable else self._nonpersistent_agent
        is_chat = kind is ServiceKind.ENGINE
        path = CHAT_PATH if is_chat else SERVICE_PATH + request.service
        url = f"http://{effect.address}{path}".encode("ascii")
        producer: Any = FileBodyProducer(BytesIO(body))
        sending = agent.request(b"POST", url, self._headers(effect), producer)
        remaining_ms = request.deadline_ms - self._clock.now_ms
        future = sending.asFuture(asyncio.get_running_loop())
        return await asyncio.wait_for(future, max(remaining_ms, 1) / 1_000)

    @staticmethod
    def _headers(effect: DispatchAttempt) -> Headers:
        request = effect.request
        values = {
            "Content-Type": "application/json",
            "X-Request-Id": request.request_id,
            "Priority": str(request.priority) if request.priority >= 0 else "",
            "Idempotency-Key": request.idempotency_key or request.permit,
            "Fencing-Number": str(effect.fencing_number or ""),
            "Resume-Offset": str(effect.resume_offset or ""),
        }
        return Headers({name: [value] for name, value in values.items() if value})

    async def _receive(
        self,
        effect: DispatchAttempt,
        body: bytes,
        response: Any,
        stream: OutgoingStream,
        started_at_ms: int,
    ) -> BackendEnded | BackendFailed:
        refusal = refusal_reason(response, effect)
        if refusal is not None:
            response.deliverBody(DiscardingProtocol())
            return BackendFailed(
                attempt_id=effect.attempt_id,
                n_bytes_sent=max(len(body), 1),
                refused_by_server=declares_not_run(response),
                reason=refusal,
            )
        content_type = read_header(response, "Content-Type") or "application/json"
        receiver = AnswerReceiver(
            stream=stream,
            clock=self._clock,
            coalescer=self._coalescer,
            max_chunk_bytes=self._limits.max_chunk_bytes,
            needs_end_event=content_type.startswith(EVENT_STREAM),
        )
        stream.begin(response.code, content_type)
        response.deliverBody(receiver)
        try:
            reason = await self._wait_for_end(effect, receiver, started_at_ms)
            await stream.drain()
        finally:
            receiver.stop()
        if reason is not None:
            return BackendFailed(
                attempt_id=effect.attempt_id,
                n_bytes=receiver.n_resumable_bytes,
                n_bytes_sent=max(len(body), 1),
                reason=reason,
                connection_reset="connection was lost" in reason,
            )
        return BackendEnded(
            attempt_id=effect.attempt_id,
            n_bytes=receiver.n_bytes,
            digest=receiver.digest,
            status=response.code,
            between_tokens_ms=receiver.between_tokens_ms,
        )

    async def _wait_for_end(
        self, effect: DispatchAttempt, receiver: AnswerReceiver, started_at_ms: int
    ) -> str | None:
        """Wait for the end of the answer; return why it is incomplete, or None."""
        timeout_ms = self._limits.progress_timeout_ms
        receiver.last_activity_ms = self._clock.now_ms
        receiver.first_byte.add_done_callback(
            lambda _: self._report_first_token(effect, receiver, started_at_ms)
        )
        while True:
            silent_ms = self._clock.now_ms - receiver.last_activity_ms
            if silent_ms >= timeout_ms:
                return f"no bytes received for {timeout_ms} ms"
            wait_s = (timeout_ms - silent_ms) / 1_000
            await asyncio.wait([receiver.done], timeout=wait_s)
            if receiver.done.done():
                return receiver.done.result()

    def _report_first_token(
        self, effect: DispatchAttempt, receiver: AnswerReceiver, started_at_ms: int
    ) -> None:
        latency_ms = receiver.first_byte_at_ms - started_at_ms
        self._post(
            BackendFirstToken(attempt_id=effect.attempt_id, latency_ms=latency_ms)
        )

    def _report_failure(
        self,
        effect: DispatchAttempt,
        body: bytes,
        reason: str,
        connection_reset: bool = False,
    ) -> None:
        failed = BackendFailed(
            attempt_id=effect.attempt_id,
            # Headers may have been sent even if the body is empty.
            n_bytes_sent=max(len(body), 1),
            reason=reason,
            connection_reset=connection_reset,
        )
        self._report_end(effect, failed)

    def _report_end(
        self, effect: DispatchAttempt, message: BackendEnded | BackendFailed
    ) -> None:
        if self._dispatches.pop(effect.attempt_id, None) is not None:
            self._post(message)


def _describe_error(failure: Exception) -> str:
    reasons = getattr(failure, "reasons", None)
    cause = reasons[0].value if reasons else failure
    return f"the call failed: {type(cause).__name__}"


def _is_reset(failure: Exception) -> bool:
    reasons = getattr(failure, "reasons", None) or ()
    return any(reason.check(*RESET_ERRORS) for reason in reasons)
