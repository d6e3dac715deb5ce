"""Answer to one caller: streamed as it arrives, or buffered until it is complete."""

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from damaskrill.callers._direct_write import write_chunk
from damaskrill.callers._errors import CallerError
from damaskrill.callers._limits import CallerLimits
from damaskrill.callers._replies import (
    encode_json,
    error_body,
    outcome_body,
    outcome_headers,
    outcome_status,
    refusal_body,
    refusal_headers,
)
from damaskrill.messages import Completed, Outcome, PermitIssued
from damaskrill.relay import AnswerTotals

__all__ = ["CallerAnswer"]

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
OUTCOME_EVENT = b"event: damaskrill.outcome\ndata: "


@implementer(IPushProducer)
class CallerAnswer:
    """Send one answer to a caller.

    Parameters
    ----------
    http_request : twisted.web.server.Request
        The caller's request.
    request_id : str
        ID assigned by this router.
    limits : CallerLimits
        Limits.
    on_disconnect : callable
        Called with the request ID if the caller disconnects before the answer is
        complete.
    """

    def __init__(
        self,
        *,
        http_request: Any,
        request_id: str,
        limits: CallerLimits,
        on_disconnect: Callable[[str], None],
    ) -> None:
        self._http_request = http_request
        self._request_id = request_id
        self._wants_stream = False
        self._limits = limits
        self._on_disconnect = on_disconnect
        self._content_type = JSON
        self._buffer: list[bytes] = []
        self._n_buffered_bytes = 0
        self._is_streaming = False
        self._is_paused = False
        self._is_finished = False
        http_request.notifyFinish().addErrback(self._handle_disconnect)

    @property
    def request_id(self) -> str:
        """ID of the request."""
        return self._request_id

    def enable_streaming(self) -> None:
        """Forward server-sent events as they arrive instead of buffering them."""
        self._wants_stream = True

    def begin(self, status: int, content_type: str) -> None:
        """Set the status and media type of the backend server's answer."""
        self._content_type = content_type
        if self._is_finished:
            return
        if self._wants_stream and content_type.startswith(EVENT_STREAM):
            self._is_streaming = True
            self._http_request.setResponseCode(status)
            self._set_headers(
                {
                    "Content-Type": content_type,
                    "Cache-Control": "no-store",
                    "Damaskrill-Request-Id": self._request_id,
                }
            )
            self._http_request.registerProducer(self, True)

    def write(self, data: bytes) -> None:
        """Forward or buffer bytes of the answer."""
        if self._is_finished:
            return
        if self._is_streaming and not self._is_paused:
            write_chunk(self._http_request, data)
            return
        self._buffer.append(data)
        self._n_buffered_bytes += len(data)
        limit = self._limits.max_answer_bytes
        if self._is_streaming:
            limit = self._limits.max_unsent_bytes
        if self._n_buffered_bytes > limit:
            self._abort()

    def restart(self) -> bool:
        """Discard the buffered bytes; return False if a stream has begun."""
        if self._is_streaming:
            return False
        self._pop_buffered()
        return True

    def finish(self, outcome: Outcome, totals: AnswerTotals) -> None:
        """Send the outcome and end the answer.

        Parameters
        ----------
        outcome : Outcome
            Outcome of the request.
        totals : AnswerTotals
            Length and digest of the forwarded bytes.
        """
        if self._is_finished:
            return
        self._is_finished = True
        content = outcome_body(self._request_id, outcome, totals)
        if self._is_streaming:
            self._finish_stream(outcome, content)
            return
        headers = outcome_headers(self._request_id, outcome)
        body = b"".join(self._buffer)
        if isinstance(outcome, Completed):
            headers["Damaskrill-Digest"] = totals.digest
            headers["Content-Type"] = self._content_type
        else:
            headers["Content-Type"] = JSON
            body = encode_json(error_body(content))
        self._send_answer(outcome_status(outcome), headers, body)

    def finish_permit(self, issued: PermitIssued) -> None:
        """Send a permit."""
        if self._is_finished:
            return
        self._is_finished = True
        content = {
            "request_id": self._request_id,
            "permit": issued.permit,
            "expires_in_ms": issued.expires_in_ms,
        }
        headers = {"Damaskrill-Request-Id": self._request_id, "Content-Type": JSON}
        self._send_answer(200, headers, encode_json(content))

    def send_page(self, status: int, content_type: str, body: bytes) -> None:
        """Send a page generated by the router itself."""
        self._is_finished = True
        headers = {"Content-Type": content_type, "Cache-Control": "no-store"}
        self._send_answer(status, headers, body)

    def refuse(self, error: CallerError) -> None:
        """Send an error of the caller interface."""
        if self._is_finished:
            return
        self._is_finished = True
        headers = refusal_headers(self._request_id, error)
        headers["Content-Type"] = JSON
        body = encode_json(refusal_body(self._request_id, error))
        self._send_answer(error.status, headers, body)

    def pauseProducing(self) -> None:
        """Buffer further bytes, because the send buffer of the connection is full."""
        self._is_paused = True

    def resumeProducing(self) -> None:
        """Send the buffered bytes."""
        self._is_paused = False
        if self._buffer and not self._is_finished:
            self._http_request.write(self._pop_buffered())

    def stopProducing(self) -> None:
        """Send nothing more, because the connection is closed."""
        self._is_paused = True

    def _finish_stream(self, outcome: Outcome, content: dict[str, Any]) -> None:
        chunks = [self._pop_buffered()]
        if not isinstance(outcome, Completed):
            # Ends a truncated event, and reports the error to clients that ignore
            # the outcome event.
            chunks.append(b"\n\ndata: " + encode_json(error_body(content)) + b"\n\n")
        chunks.append(OUTCOME_EVENT + encode_json(content) + b"\n\n")
        self._http_request.unregisterProducer()
        self._http_request.write(b"".join(chunks))
        self._http_request.finish()

    def _send_answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self._http_request.setResponseCode(status)
        self._set_headers({**headers, "Content-Length": str(len(body))})
        self._http_request.write(body)
        self._http_request.finish()

    def _set_headers(self, headers: dict[str, str]) -> None:
        for name, value in headers.items():
            self._http_request.setHeader(
                name.encode("ascii"), value.encode("latin-1", "replace")
            )

    def _pop_buffered(self) -> bytes:
        data = b"".join(self._buffer)
        self._buffer.clear()
        self._n_buffered_bytes = 0
        return data

    def _abort(self) -> None:
        # An answer that the caller does not read would exhaust the memory.
        self._http_request.transport.abortConnection()

    def _handle_disconnect(self, _: Any) -> None:
        self._buffer.clear()
        if not self._is_finished:
            self._is_finished = True
            self._on_disconnect(self._request_id)
