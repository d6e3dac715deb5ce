"""Correlation of the log lines of each request, and its result."""

from collections import OrderedDict
from collections.abc import Iterator

from attrs import define, frozen

from damaskrill.logs import LoggedCause, LogLine
from damaskrill.messages import Cause, CauseCode
from damaskrill.report._objectives import Objectives

__all__ = ["EndedRequest", "RequestCorrelator", "format_root_cause"]

MAX_OPEN_REQUESTS = 200_000
MAX_ENDED_REQUESTS = 100_000
# Requests that end for these causes do not count as lost: the caller caused the end.
CALLER_CAUSE_CODES = frozenset(
    (
        "caller_gone",
        "caller_left",
        "no_route",
        "permit_spent",
        "unknown_key",
        "unknown_service",
    )
)
ATTEMPT_EVENTS = frozenset(("attempt_queued", "attempt_refused", "attempt_failed"))


@frozen(kw_only=True)
class EndedRequest:
    """Ended request, evaluated against the objectives of its service.

    Parameters
    ----------
    at_ms : int
        Time at which the request ended, in milliseconds since the Unix epoch.
    service, team : str
        Requested service and team of the caller.
    outcome : str
        Name of the outcome.
    is_lost : bool
        Whether the request missed the objective of its service.
    is_callers_own : bool
        Whether the caller caused the end. Such a request counts neither as lost nor
        as met.
    root_cause : str
        Sentence for the last cause of its chain; empty if the request was not lost.
    """

    at_ms: int
    service: str
    team: str
    outcome: str
    is_lost: bool
    is_callers_own: bool
    root_cause: str


@define(kw_only=True)
class _RequestState:
    arrived_ms: int | None = None
    service: str = ""
    team: str = ""
    first_token_ms: int | None = None
    between_tokens_ms: int = 0
    backend_server: str = ""
    causes: tuple[LoggedCause, ...] = ()


class RequestCorrelator:
    """Collector of the log lines of each request until it ends.

    The numbers of open and of ended requests are bounded; beyond the limits, the
    oldest are dropped.

    Parameters
    ----------
    objectives : Objectives
        Objectives that requests are evaluated against.

    Notes
    -----
    A forwarded request ends in the logs of two routers. Only its first end counts.
    """

    def __init__(self, *, objectives: Objectives) -> None:
        self._objectives = objectives
        self._states: OrderedDict[str, _RequestState] = OrderedDict()
        self._ended_ids: OrderedDict[str, None] = OrderedDict()

    def add_line(self, line: LogLine) -> Iterator[EndedRequest]:
        """Add a line; yield the request if this line ends it."""
        if not line.request_id or line.request_id in self._ended_ids:
            return
        if line.event == "request_ended":
            state = self._states.pop(line.request_id, None) or _RequestState()
            self._ended_ids[line.request_id] = None
            if len(self._ended_ids) > MAX_ENDED_REQUESTS:
                self._ended_ids.popitem(last=False)
            yield self._classify_end(line, state)
            return
        self._update_state(self._get_state(line.request_id), line)

    def _get_state(self, request_id: str) -> _RequestState:
        state = self._states.get(request_id)
        if state is None:
            state = self._states[request_id] = _RequestState()
            if len(self._states) > MAX_OPEN_REQUESTS:
                self._states.popitem(last=False)
        return state

    def _update_state(self, state: _RequestState, line: LogLine) -> None:
        state.service = state.service or line.service
        state.team = state.team or line.team
        state.backend_server = line.backend_server or state.backend_server
        if line.event == "request_arrived":
            if state.arrived_ms is None:
                state.arrived_ms = line.at_ms
        elif line.event == "first_token":
            if state.first_token_ms is None:
                state.first_token_ms = _first_token_ms(state, line)
        elif line.event in ATTEMPT_EVENTS and line.causes:
            state.causes = line.causes

    def _classify_end(self, line: LogLine, state: _RequestState) -> EndedRequest:
        service = line.service or state.service
        causes = line.causes or state.causes
        is_callers_own = (
            bool(line.causes) and line.causes[-1].code in CALLER_CAUSE_CODES
        )
        is_completed = line.outcome == "completed"
        # Routers that evaluate the objective log a cause for a completed request that
        # missed it.
        is_met = (
            is_completed
            and not line.causes
            and self._objectives.is_met(
                service,
                first_token_ms=state.first_token_ms,
                between_tokens_ms=line.between_tokens_ms,
            )
        )
        is_lost = not is_met and not is_callers_own
        return EndedRequest(
            at_ms=line.at_ms,
            service=service,
            team=line.team or state.team,
            outcome=line.outcome,
            is_lost=is_lost,
            is_callers_own=is_callers_own,
            root_cause=_find_root_cause(causes, state, is_completed) if is_lost else "",
        )


def _first_token_ms(state: _RequestState, line: LogLine) -> int:
    # A logged latency was measured with one clock. The times of two lines may come from
    # the clocks of two routers.
    if line.latency_ms or state.arrived_ms is None:
        return line.latency_ms
    return line.at_ms - state.arrived_ms


def _find_root_cause(
    causes: tuple[LoggedCause, ...], state: _RequestState, is_completed: bool
) -> str:
    if causes:
        return format_root_cause(causes[-1])
    if is_completed:
        server = state.backend_server or "the backend server"
        return f"{server} answered slowly"
    return "no cause was logged"


def format_root_cause(cause: LoggedCause) -> str:
    """Format a cause as a sentence without the details of a single request.

    Parameters
    ----------
    cause : LoggedCause
        Last cause of a chain.

    Returns
    -------
    str
        Sentence with only the subject and the text version. A cause with an unknown
        code keeps its logged sentence.
    """
    try:
        code = CauseCode(cause.code)
    except ValueError:
        return cause.sentence or cause.code
    plain = Cause(code=code, subject=cause.subject, text_version=cause.text_version)
    return plain.sentence
