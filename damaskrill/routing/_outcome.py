"""Outcome of a request, derived from its attempts, and the matching log event."""

from damaskrill.messages import (
    Cause,
    CauseCode,
    EventName,
    FleetView,
    LoggedEvent,
    NotRun,
    Outcome,
    Unknown,
)
from damaskrill.routing._open_request import OpenRequest

__all__ = ["outcome_event", "outcome_without_answer"]

DEFAULT_RETRY_AFTER_MS = 1_000
LIMIT_CODES = (CauseCode.AT_LIMIT, CauseCode.COLD, CauseCode.QUEUE_FULL)


def outcome_without_answer(state: OpenRequest, view: FleetView | None) -> Outcome:
    """Return the outcome of a request without an answer.

    Parameters
    ----------
    state : OpenRequest
        The request.
    view : FleetView or None
        Active view.

    Returns
    -------
    Outcome
        ``Unknown`` if a byte may have reached a backend server, else ``NotRun``.
    """
    causes = _summarise(state, view)
    if state.may_have_run:
        return Unknown(causes=causes)
    retry_after_ms = state.retry_after_ms or DEFAULT_RETRY_AFTER_MS
    return NotRun(causes=causes, retry_after_ms=retry_after_ms)


def _summarise(state: OpenRequest, view: FleetView | None) -> tuple[Cause, ...]:
    causes = state.causes
    service = state.request.service
    if not causes:
        return (Cause(code=CauseCode.NO_BACKEND_SERVER, subject=service),)
    n_refused = len(state.refused)
    if n_refused < 2 or causes[0].code not in LIMIT_CODES or view is None:
        return causes
    n_servers = len(view.servers_by_service.get(service, ()))
    considered = f"all {n_servers}" if n_refused >= n_servers else f"{n_refused} tried"
    summary = Cause(
        code=CauseCode.NO_BACKEND_SERVER,
        subject=service,
        detail=f"with free capacity, out of {considered}",
    )
    return (summary, *causes)


def outcome_event(
    state: OpenRequest,
    outcome: Outcome,
    view: FleetView | None,
    *,
    now_ms: int,
    between_tokens_ms: int,
) -> LoggedEvent:
    """Build the log event for the end of a request."""
    request = state.request
    attempt = state.attempt
    return LoggedEvent(
        name=EventName.REQUEST_ENDED,
        request_id=request.request_id,
        attempt_id=attempt.attempt_id if attempt is not None else "",
        service=request.service,
        team=request.team,
        backend_server=attempt.backend_server if attempt is not None else "",
        outcome=outcome.name,
        causes=outcome.causes,
        wait_ms=state.wait_ms,
        latency_ms=now_ms - state.arrived_at_ms,
        between_tokens_ms=between_tokens_ms,
        n_bytes=state.n_bytes,
        n_attempts=state.n_attempts,
        text_version=view.text.version if view is not None else 0,
    )
