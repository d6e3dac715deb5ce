"""Status, headers and bodies of the answers to callers."""

import json
from typing import Any

from damaskrill.callers._errors import CallerError
from damaskrill.messages import CauseCode, Completed, NotRun, Outcome, Unknown
from damaskrill.monitoring import causes_to_fields
from damaskrill.relay import AnswerTotals

__all__ = [
    "encode_json",
    "error_body",
    "outcome_body",
    "outcome_code",
    "outcome_headers",
    "outcome_status",
    "retry_after_s",
]

MS_PER_S = 1_000
MAX_SENTENCE_LENGTH = 400
STATUS_BY_CAUSE = {
    CauseCode.UNKNOWN_SERVICE: 404,
    CauseCode.SURGE: 429,
    CauseCode.PERMIT_DEAD: 409,
    CauseCode.PERMIT_SPENT: 409,
    CauseCode.DEADLINE: 504,
}
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 502


def encode_json(content: Any) -> bytes:
    """Return compact JSON in UTF-8."""
    return json.dumps(content, separators=(",", ":"), ensure_ascii=False).encode(
        "utf-8", "replace"
    )


def outcome_code(outcome: Outcome) -> str:
    """Return the stable code of an outcome: that of its nearest cause, or its name."""
    if outcome.causes and not isinstance(outcome, Completed):
        return outcome.causes[0].code.value
    return outcome.name


def outcome_status(outcome: Outcome) -> int:
    """Return the HTTP status of an outcome."""
    match outcome:
        case Completed(status=status):
            return status
        case NotRun() | Unknown():
            fallback = STATUS_NOT_RUN if isinstance(outcome, NotRun) else STATUS_UNKNOWN
            if not outcome.causes:
                return fallback
            return STATUS_BY_CAUSE.get(outcome.causes[0].code, fallback)
    return STATUS_UNKNOWN


def retry_after_s(outcome: Outcome) -> int:
    """Return the delay before a retry in whole seconds; 0 if a retry would not help."""
    match outcome:
        case NotRun(retry_after_ms=retry_after_ms) if retry_after_ms > 0:
            return -(-retry_after_ms // MS_PER_S)
    return 0


def outcome_headers(request_id: str, outcome: Outcome) -> dict[str, str]:
    """Return the headers that describe an outcome."""
    headers = {
        "Damaskrill-Request-Id": request_id,
        "Damaskrill-Outcome": outcome.name,
        "Damaskrill-Code": outcome_code(outcome),
        "Damaskrill-Sentence": _to_header_value(outcome.sentence),
    }
    seconds = retry_after_s(outcome)
    if seconds:
        headers["Retry-After"] = str(seconds)
    return headers


def outcome_body(
    request_id: str, outcome: Outcome, totals: AnswerTotals
) -> dict[str, Any]:
    """Return the fields of an outcome for bodies and for the last event of a stream.

    Parameters
    ----------
    request_id : str
        ID of the request.
    outcome : Outcome
        Outcome of the request.
    totals : AnswerTotals
        Length and digest of the preceding bytes of the answer.
    """
    content: dict[str, Any] = {
        "request_id": request_id,
        "outcome": outcome.name,
        "code": outcome_code(outcome),
        "sentence": outcome.sentence,
    }
    if outcome.causes:
        content["causes"] = causes_to_fields(outcome.causes)
    if isinstance(outcome, Completed):
        content["n_bytes"] = totals.n_bytes
        content["digest"] = totals.digest
    seconds = retry_after_s(outcome)
    if seconds:
        content["retry_after_s"] = seconds
    return content


def error_body(content: dict[str, Any]) -> dict[str, Any]:
    """Add the error object that chat clients expect to the fields of an outcome."""
    error = {
        "message": content["sentence"],
        "type": content["outcome"],
        "code": content["code"],
    }
    return {"error": error, **content}


def refusal_body(request_id: str, error: CallerError) -> dict[str, Any]:
    """Return the body of the answer to a refused request."""
    sentence = f"{error.sentence[:1].upper()}{error.sentence[1:]}."
    return error_body(
        {
            "request_id": request_id,
            "outcome": "not_run",
            "code": error.code,
            "sentence": sentence,
        }
    )


def refusal_headers(request_id: str, error: CallerError) -> dict[str, str]:
    """Return the headers of the answer to a refused request."""
    headers = {
        "Damaskrill-Request-Id": request_id,
        "Damaskrill-Outcome": "not_run",
        "Damaskrill-Code": error.code,
        "Damaskrill-Sentence": _to_header_value(error.sentence),
    }
    if error.retry_after_ms:
        headers["Retry-After"] = str(-(-error.retry_after_ms // MS_PER_S))
    return headers


def _to_header_value(sentence: str) -> str:
    printable = "".join(each if " " <= each <= "~" else "?" for each in sentence)
    return printable[:MAX_SENTENCE_LENGTH]
