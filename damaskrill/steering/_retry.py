"""Rules for retrying a request at another server."""

from enum import Enum

from attrs import frozen

from damaskrill.catalog import Route

__all__ = [
    "FULL_RETRY_DELAY_MS",
    "ExecutionStatus",
    "RetryState",
    "may_retry",
    "may_retry_full",
]

# Delay before a retry at a full server. Within this time, a plain server with a few
# slots completes some requests.
FULL_RETRY_DELAY_MS = 60


class ExecutionStatus(Enum):
    """How far an attempt was executed, as far as a retry depends on it."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    ERROR_ANSWER = "error_answer"


@frozen(kw_only=True)
class RetryState:
    """State of a request on which a retry depends.

    Parameters
    ----------
    n_servers_left : int
        Number of further servers that the request may reach.
    end : ExecutionStatus
        How the last attempt ended.
    remaining_ms : float
        Time left for an answer, in milliseconds.
    """

    n_servers_left: int
    end: ExecutionStatus
    remaining_ms: float


def may_retry(route: Route, state: RetryState, *, min_remaining_ms: float) -> bool:
    """Return whether the retry rules allow another server.

    Parameters
    ----------
    route : Route
        The request's route.
    state : RetryState
        State of the request.
    min_remaining_ms : float
        Remaining time below which no server could answer, in milliseconds.

    Notes
    -----
    The retry budget is checked separately, unless the request was never sent.
    """
    if state.remaining_ms < min_remaining_ms:
        return False
    match state.end:
        case ExecutionStatus.NOT_SENT:
            return True
        case ExecutionStatus.NOT_RUN:
            return state.n_servers_left > 0
        case ExecutionStatus.MAY_HAVE_RUN | ExecutionStatus.ERROR_ANSWER:
            return route.may_repeat and state.n_servers_left > 0


def may_retry_full(*, elapsed_ms: float, target_ms: float, remaining_ms: float) -> bool:
    """Return whether a request refused by full servers may be sent to them again.

    Parameters
    ----------
    elapsed_ms : float
        Time since the request arrived, in milliseconds.
    target_ms : float
        Latency target of the request, in milliseconds.
    remaining_ms : float
        Time left for an answer, in milliseconds.

    Notes
    -----
    Handles bursts at a service with few slots: its queue is full for some ten
    milliseconds, and a refusal would use up the caller's only retry. After the target,
    the refusal states when to retry, so that requests do not accumulate in the router.
    """
    return (
        elapsed_ms + FULL_RETRY_DELAY_MS <= target_ms
        and remaining_ms > 2 * FULL_RETRY_DELAY_MS
    )
