"""Whether a request may be sent to another server."""

from enum import Enum

from attrs import frozen

from damaskrill.catalog import Route

__all__ = ["EndOfAttempt", "Outcome", "may_send_again"]


class EndOfAttempt(Enum):
    """How an attempt ended, as far as a repeat depends on it."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    ERROR_ANSWER = "error_answer"


@frozen(kw_only=True)
class Outcome:
    """What has become of a request so far.

    Parameters
    ----------
    n_sent : int
        Servers that it was sent to.
    end : EndOfAttempt
        How the last attempt ended.
    remaining_ms : float
        Time left for an answer, in milliseconds.
    """

    n_sent: int
    end: EndOfAttempt
    remaining_ms: float


def may_send_again(route: Route, outcome: Outcome, *, min_remaining_ms: float) -> bool:
    """Return whether the rules of repeats allow another server.

    Parameters
    ----------
    route : Route
        The request's route.
    outcome : Outcome
        What has become of the request.
    min_remaining_ms : float
        Time below which another attempt would be in vain, in milliseconds.

    Notes
    -----
    The budget of repeats is asked besides, unless the request was never sent.
    """
    if outcome.remaining_ms < min_remaining_ms:
        return False
    match outcome.end:
        case EndOfAttempt.NOT_SENT:
            return True
        case EndOfAttempt.NOT_RUN:
            return outcome.n_sent < route.max_servers
        case EndOfAttempt.MAY_HAVE_RUN | EndOfAttempt.ERROR_ANSWER:
            return route.may_repeat and outcome.n_sent < route.max_servers
