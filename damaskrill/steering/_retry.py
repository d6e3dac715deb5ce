"""Whether a request may be sent to another server."""

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

# Pause before a full server is asked again: the time in which a plain server with a few
# slots ends some requests.
FULL_RETRY_DELAY_MS = 60


class ExecutionStatus(Enum):
    """How an attempt ended, as far as a repeat depends on it."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    ERROR_ANSWER = "error_answer"


@frozen(kw_only=True)
class RetryState:
    """What has become of a request so far.

    Parameters
    ----------
    n_servers : int
        Servers that it was sent to.
    end : EndOfAttempt
        How the last attempt ended.
    remaining_ms : float
        Time left for an answer, in milliseconds.
    """

    n_servers: int
    end: ExecutionStatus
    remaining_ms: float


def may_retry(route: Route, state: RetryState, *, min_remaining_ms: float) -> bool:
    """Return whether the rules of repeats allow another server.

    Parameters
    ----------
    route : Route
        The request's route.
    state : Outcome
        What has become of the request.
    min_remaining_ms : float
        Time below which another attempt would be in vain, in milliseconds.

    Notes
    -----
    The budget of repeats is asked besides, unless the request was never sent.
    """
    if state.remaining_ms < min_remaining_ms:
        return False
    match state.end:
        case ExecutionStatus.NOT_SENT:
            return True
        case ExecutionStatus.NOT_RUN:
            return state.n_servers < route.max_servers
        case ExecutionStatus.MAY_HAVE_RUN | ExecutionStatus.ERROR_ANSWER:
            return route.may_repeat and state.n_servers < route.max_servers


def may_retry_full(*, elapsed_ms: float, target_ms: float, remaining_ms: float) -> bool:
    """Return whether a request that full servers refused may ask them once more.

    Parameters
    ----------
    elapsed_ms : float
        Time since its arrival, in milliseconds.
    target_ms : float
        Time within which its answer is worth most, in milliseconds.
    remaining_ms : float
        Time left for an answer, in milliseconds.

    Notes
    -----
    Answers the pattern of bursts at a service with few slots: its queue is full for
    some ten milliseconds, and a refusal spends the caller's only retry. Beyond the
    target the caller is told when to come back, so that work does not pile up here.
    """
    return (
        elapsed_ms + FULL_RETRY_DELAY_MS <= target_ms
        and remaining_ms > 2 * FULL_RETRY_DELAY_MS
    )
