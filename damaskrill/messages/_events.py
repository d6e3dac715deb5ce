"""Log events of the kernel with their cause chains."""

from enum import Enum

from attrs import frozen

from damaskrill.messages._base import Message
from damaskrill.messages._outcomes import Cause

__all__ = ["EventName", "LoggedEvent"]


class EventName(Enum):
    """Stable names of log events; the value is written to the log line."""

    REQUEST_ARRIVED = "request_arrived"
    REQUEST_FORWARDED = "request_forwarded"
    ATTEMPT_OFFERED = "attempt_offered"
    ATTEMPT_QUEUED = "attempt_queued"
    ATTEMPT_DISPATCHED = "attempt_dispatched"
    ATTEMPT_REFUSED = "attempt_refused"
    ATTEMPT_FAILED = "attempt_failed"
    ATTEMPT_RETRIED = "attempt_retried"
    LATE_ANSWER_DROPPED = "late_answer_dropped"
    FIRST_TOKEN = "first_token"
    REQUEST_ENDED = "request_ended"
    TEXT_ACCEPTED = "text_accepted"
    TEXT_REFUSED = "text_refused"
    MEMBERS_CHANGED = "members_changed"
    SERVER_COLD = "server_cold"
    SERVER_LEAVING = "server_leaving"
    CIRCUIT_OPENED = "circuit_opened"
    CIRCUIT_CLOSED = "circuit_closed"
    DATA_CENTRE_OUT = "data_centre_out"
    DATA_CENTRE_BACK = "data_centre_back"
    PROCESS_PAUSED = "process_paused"
    PARTITION_SUSPECTED = "partition_suspected"
    PERMIT_ISSUED = "permit_issued"
    ENGINE_ORDERED = "engine_ordered"
    TEXT_STATUS = "text_status"


@frozen(kw_only=True)
class LoggedEvent(Message):
    """Effect: write one line to the log; fields that do not apply stay empty.

    Parameters
    ----------
    name : EventName
        Name of the event.
    request_id, attempt_id : str
        Request and attempt that the event is about.
    service, team, backend_server, data_centre : str
        Service, team, backend server and data centre that the event is about.
    peer : str
        Address of the other router.
    outcome : str
        Name of the outcome, for ``REQUEST_ENDED``.
    causes : tuple of Cause
        Causes, from the nearest one to the root cause.
    load, load_bound : int
        Load of the backend server and the load bound that applied.
    wait_ms, latency_ms, between_tokens_ms : int
        Queue wait, time to the first token or the end, and the mean time between
        tokens, in milliseconds.
    n_bytes, n_attempts : int
        Size of the answer, and attempts so far.
    text_version : int
        Version of the active operators' text.
    detail : str
        Further details.
    """

    name: EventName
    request_id: str = ""
    attempt_id: str = ""
    service: str = ""
    team: str = ""
    backend_server: str = ""
    data_centre: str = ""
    peer: str = ""
    outcome: str = ""
    causes: tuple[Cause, ...] = ()
    load: int = 0
    load_bound: int = 0
    wait_ms: int = 0
    latency_ms: int = 0
    between_tokens_ms: int = 0
    n_bytes: int = 0
    n_attempts: int = 0
    text_version: int = 0
    detail: str = ""
