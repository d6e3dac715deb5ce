"""What the end of an attempt says of its server, and what its caller is told."""

from damaskrill.gateway._attempt import (
    AttemptResult,
    BadAnswer,
    Broken,
    CompleteAnswer,
    NotRun,
    StreamEnded,
)
from damaskrill.http1 import FailureKind
from damaskrill.steering import Refusal, RefusalCause, ServerOutcome

__all__ = ["classify_outcome", "find_refusal"]

# About the time in which a plain server finishes a request.
RETRY_AFTER_FULL_MS = 150
# All routers leave the replaced server out within this time.
RETRY_AFTER_REPLACED_MS = 100
STATUS_SERVER_ERROR = 500
STATUS_DEADLINE = 504


def classify_outcome(
    result: AttemptResult, *, is_expired: bool, is_silent: bool, waited_ms: float
) -> tuple[ServerOutcome, str] | None:
    """Return what the end of an attempt says of the server, and why.

    Parameters
    ----------
    result : AttemptResult
        How the attempt ended.
    is_expired : bool
        Whether the request's time is over, so that the router itself ended it.
    is_silent : bool
        Whether the server has answered nothing for long.
    waited_ms : float
        How long the answer was waited for, in milliseconds.

    Returns
    -------
    tuple of (Verdict, str) or None
        None if it says nothing.
    """
    match result:
        case CompleteAnswer(head=head) if head.status == STATUS_DEADLINE:
            # The server ended the request at the deadline that it got.
            return None
        case CompleteAnswer(head=head) if head.status >= STATUS_SERVER_ERROR:
            return ServerOutcome.ERROR_STATUS, f"status {head.status}"
        case CompleteAnswer() | StreamEnded():
            return ServerOutcome.GOOD, ""
        case NotRun(status=status):
            outcome = (
                ServerOutcome.REPLACED if result.is_other_server else ServerOutcome.FULL
            )
            return outcome, f"not run, {status}"
        case BadAnswer(reason=reason):
            return ServerOutcome.BROKEN, reason
        case Broken(failure=failure) if failure.kind is FailureKind.SILENT:
            return ServerOutcome.SILENT_CONNECTION, failure.reason
        case Broken(failure=failure) if not is_expired:
            return ServerOutcome.BROKEN, failure.reason
        case Broken():
            if is_silent:
                return ServerOutcome.SILENT, f"no answer for {waited_ms:.0f} ms"
            return None


def find_refusal(
    result: NotRun | BadAnswer | Broken, *, may_have_run: bool, is_expired: bool
) -> tuple[Refusal, str]:
    """Return what the caller is told after the last attempt, and a detail for the log.

    Parameters
    ----------
    result : NotRun, BadAnswer or Broken
        How the last attempt ended.
    may_have_run : bool
        Whether some attempt may have run.
    is_expired : bool
        Whether the request's time is over.
    """
    match result:
        case NotRun() if may_have_run:
            cause = RefusalCause.OUTCOME_UNKNOWN
            return Refusal(status=502, cause=cause), "an earlier try may have run"
        case NotRun(status=status):
            cause, retry_after_ms = RefusalCause.SERVER_FULL, RETRY_AFTER_FULL_MS
            if result.is_other_server:
                cause = RefusalCause.SERVER_REPLACED
                retry_after_ms = RETRY_AFTER_REPLACED_MS
            return (
                Refusal(status=503, cause=cause, retry_after_ms=retry_after_ms),
                f"the server answered {status}",
            )
        case BadAnswer(reason=reason):
            return Refusal(status=502, cause=RefusalCause.BAD_ANSWER), reason
        case Broken(failure=failure) if not is_expired:
            cause = RefusalCause.OUTCOME_UNKNOWN
            return Refusal(status=502, cause=cause), failure.reason
        case Broken():
            return Refusal(status=504, cause=RefusalCause.TIME_LIMIT), ""
