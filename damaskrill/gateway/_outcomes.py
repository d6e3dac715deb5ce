"""Classification of attempts: outcome for the server and refusal for the caller."""

from damaskrill.gateway._attempt import (
    Attempt,
    AttemptResult,
    BadAnswer,
    Broken,
    CompleteAnswer,
    NotRun,
    Stalled,
    StreamEnded,
)
from damaskrill.http1 import FailureKind
from damaskrill.steering import (
    NOT_RUN_STATUSES,
    Refusal,
    RefusalCause,
    RequestMetadata,
    ServerOutcome,
)

__all__ = [
    "broke_off_unserved",
    "classify_outcome",
    "describe_request",
    "find_refusal",
    "find_run_refusal",
    "has_crashed",
    "may_have_crashed",
    "shows_sound_prompt",
    "shows_sound_request",
]

# About the time in which a plain server finishes a request.
RETRY_AFTER_FULL_MS = 150
# All routers eject the replaced server within this time.
RETRY_AFTER_REPLACED_MS = 100
# A server that crashes under a prompt does so within some hundred milliseconds of the
# first event. Until the first event, an answer may be waiting for its turn.
YOUNG_STREAM_MS = 500
YOUNG_ANSWER_MS = 1_000
# Time in which a server that crashes under a request without an answer has run it, with
# the time in its queue.
YOUNG_RUN_MS = 2_000
# A longer time, as a busy router notices the end of a connection late.
SOUND_STREAM_MS = 1_000
STATUS_SERVER_ERROR = 500
STATUS_DEADLINE = 504


def classify_outcome(
    result: AttemptResult, *, is_expired: bool, is_silent: bool, waited_ms: float
) -> tuple[ServerOutcome, str] | None:
    """Return the outcome of an attempt for its server, and the reason.

    Parameters
    ----------
    result : AttemptResult
        How the attempt ended.
    is_expired : bool
        Whether the request's time limit has passed or its caller has left, so that
        the router itself ended the attempt.
    is_silent : bool
        Whether the server has sent nothing for a long time.
    waited_ms : float
        Time spent waiting for the answer, in milliseconds.

    Returns
    -------
    tuple of (ServerOutcome, str) or None
        None if the attempt gives no evidence about the server.
    """
    match result:
        case CompleteAnswer(head=head) if head.status == STATUS_DEADLINE:
            # The server ended the request at the deadline that it was given.
            return None
        case CompleteAnswer(head=head) if head.status >= STATUS_SERVER_ERROR:
            return ServerOutcome.ERROR_STATUS, f"status {head.status}"
        case CompleteAnswer() | StreamEnded():
            return ServerOutcome.GOOD, ""
        case NotRun(pause_ms=float()):
            # A server that asks for a pause is not faulty.
            return None
        case NotRun(status=status):
            outcome = (
                ServerOutcome.REPLACED if result.is_other_server else ServerOutcome.FULL
            )
            return outcome, f"request not run, status {status}"
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
        case Stalled():
            return None


def find_refusal(
    result: NotRun | BadAnswer | Broken,
    *,
    may_have_run: bool,
    is_expired: bool,
    wait_refusal: Refusal | None = None,
) -> tuple[Refusal, str]:
    """Return the refusal for the caller after the last attempt, and a detail to log.

    Parameters
    ----------
    result : NotRun, BadAnswer or Broken
        How the last attempt ended.
    may_have_run : bool
        Whether some attempt may have run.
    is_expired : bool
        Whether the request's time limit has passed.
    wait_refusal : Refusal or None, default=None
        Refusal that tells when to retry, if no server may get a request now.
    """
    match result:
        case NotRun() if may_have_run:
            cause = RefusalCause.OUTCOME_UNKNOWN
            return Refusal(status=502, cause=cause), "an earlier attempt may have run"
        case NotRun(status=status) if wait_refusal is not None:
            return wait_refusal, f"the server answered with status {status}"
        case NotRun(status=status):
            cause, retry_after_ms = RefusalCause.SERVER_FULL, RETRY_AFTER_FULL_MS
            if result.is_other_server:
                cause = RefusalCause.SERVER_REPLACED
                retry_after_ms = RETRY_AFTER_REPLACED_MS
            return (
                Refusal(status=503, cause=cause, retry_after_ms=retry_after_ms),
                f"the server answered with status {status}",
            )
        case BadAnswer(reason=reason):
            return Refusal(status=502, cause=RefusalCause.BAD_ANSWER), reason
        case Broken(failure=failure) if not is_expired:
            cause = RefusalCause.OUTCOME_UNKNOWN
            return Refusal(status=502, cause=cause), failure.reason
        case Broken():
            return Refusal(status=504, cause=RefusalCause.TIME_LIMIT), ""


def find_run_refusal(
    answer: CompleteAnswer, *, may_repeat: bool
) -> tuple[Refusal, str] | None:
    """Return the refusal in place of an answer whose status is a false promise.

    Parameters
    ----------
    answer : CompleteAnswer
        Answer of a server that does not state that it has not run the request.
    may_repeat : bool
        Whether the request may run more than once.

    Returns
    -------
    tuple of (Refusal, str) or None
        The refusal and a detail to log; None if the answer is forwarded as it is.

    Notes
    -----
    Load pattern: a server that is in trouble runs actions and fails them with 503.
    Callers would send each of them again. Requests that may be repeated keep the
    server's status, as a repetition does no harm.
    """
    status = answer.head.status
    if may_repeat or status not in NOT_RUN_STATUSES:
        return None
    refusal = Refusal(status=502, cause=RefusalCause.MAY_HAVE_RUN)
    return refusal, f"the server answered with status {status}"


def describe_request(
    metadata: RequestMetadata, attempt: Attempt | None, *, team: str
) -> dict[str, object]:
    """Return log fields that show what failed requests have in common.

    Parameters
    ----------
    metadata : RequestMetadata
        Metadata of the request.
    attempt : Attempt or None
        The failed attempt; None if no connection was opened.
    team : str
        Name of the caller's team; empty if it has none.
    """
    fields: dict[str, object] = {
        "fingerprint": f"{metadata.fingerprint_for(team):08x}",
        "has_answer": attempt is not None and attempt.has_head,
    }
    if metadata.prompt:
        fields["prompt_parts"] = [part.part_id for part in metadata.prompt[:-1]]
    if attempt is not None and attempt.begun_ms is not None:
        fields["begun_ms"] = round(attempt.begun_ms)
    return fields


def has_crashed(result: AttemptResult, attempt: Attempt) -> bool:
    """Return whether the server broke off the answer shortly after its beginning.

    Notes
    -----
    An attempt that the router ended, a refusal, an error status and an answer that had
    not begun are no evidence of a crash under the request's prompt.
    """
    match result:
        case Broken(failure=failure):
            is_cut = failure.kind in (FailureKind.CLOSED, FailureKind.RESET)
        case BadAnswer():
            is_cut = result.is_cut
        case _:
            return False
    begun_ms, first_event_ms = attempt.begun_ms, attempt.first_event_ms
    if not is_cut or begun_ms is None or not attempt.is_success:
        return False
    if first_event_ms is None:
        return begun_ms <= YOUNG_ANSWER_MS
    return first_event_ms <= YOUNG_STREAM_MS


def may_have_crashed(
    result: AttemptResult, attempt: Attempt, *, waited_ms: float
) -> bool:
    """Return whether the server broke off the request before any answer.

    Parameters
    ----------
    result : AttemptResult
        How the attempt ended.
    attempt : Attempt
        The attempt.
    waited_ms : float
        Time since it was sent, in milliseconds.

    Notes
    -----
    A request that was waiting for its turn is broken off in the same way, so that this
    says nothing about its prompt, which other requests share. About the request itself
    it does once the same request has met the same end at several servers.
    """
    match result:
        case Broken(failure=failure):
            is_cut = failure.kind in (FailureKind.CLOSED, FailureKind.RESET)
            return is_cut and not attempt.has_head and waited_ms <= YOUNG_RUN_MS
        case _:
            return False


def broke_off_unserved(result: AttemptResult, attempt: Attempt) -> bool:
    """Return whether the server broke off the request before any part of its result.

    Notes
    -----
    However long that took, a request or prompt part of which no run has ever come to
    its end may be the cause: a server whose memory runs out crashes late. Of a stream
    with events nothing is concluded from its end.
    """
    match result:
        case Broken(failure=failure):
            is_cut = failure.kind in (FailureKind.CLOSED, FailureKind.RESET)
        case _:
            return False
    return is_cut and attempt.first_event_ms is None


def shows_sound_request(result: AttemptResult) -> bool:
    """Return whether the server has answered the request to the end."""
    return isinstance(result, CompleteAnswer | StreamEnded)


def shows_sound_prompt(result: AttemptResult, attempt: Attempt) -> bool:
    """Return whether the server answered for so long that the prompt is sound."""
    match result:
        case CompleteAnswer():
            return attempt.is_success
        case StreamEnded():
            return attempt.first_event_ms is not None
        case Broken():
            first_event_ms = attempt.first_event_ms
            return first_event_ms is not None and first_event_ms > SOUND_STREAM_MS
        case _:
            return False
