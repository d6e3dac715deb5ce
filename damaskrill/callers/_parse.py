"""Parse HTTP requests of callers into kernel requests."""

import json
import re
from collections.abc import Callable
from typing import Any

from attrs import frozen

from damaskrill.callers._errors import InvalidBodyError, InvalidFieldError
from damaskrill.callers._limits import CallerLimits
from damaskrill.messages import Request
from damaskrill.utils import count_prompt_tokens, hash_prefix_blocks

__all__ = ["CallerRequest", "parse_action_query", "parse_chat", "parse_service_call"]

MAX_NAME_LENGTH = 128
MAX_PRIORITY = 9
NAME_PATTERN = re.compile(r"[A-Za-z0-9._:/@+-]+\Z")
MAX_KEY_LENGTH = 256
KEY_PATTERN = re.compile(r"[!-~]+\Z")
KEY_FORMAT = f"at most {MAX_KEY_LENGTH} visible ASCII characters"
NAME_FORMAT = f"1 to {MAX_NAME_LENGTH} letters, digits or any of . _ : / @ + -"

HeaderReader = Callable[[str], str]


@frozen(kw_only=True)
class CallerRequest:
    """A parsed request of a caller.

    Parameters
    ----------
    request : Request
        Request for the kernel.
    is_stream : bool
        Whether the caller requests the answer as server-sent events.
    body : bytes
        Unmodified body for the backend server.
    """

    request: Request
    is_stream: bool
    body: bytes


def parse_chat(
    *,
    request_id: str,
    body: bytes,
    read_header: HeaderReader,
    now_ms: int,
    limits: CallerLimits,
) -> CallerRequest:
    """Parse a chat completion request.

    Parameters
    ----------
    request_id : str
        ID assigned by this router.
    body : bytes
        Body of the HTTP request.
    read_header : callable
        Returns the value of a header, or an empty string.
    now_ms : int
        Current time in milliseconds.
    limits : CallerLimits
        Limits.

    Returns
    -------
    CallerRequest
        The request.

    Raises
    ------
    InvalidBodyError, InvalidFieldError
        If the request is not valid.
    """
    content = _load_object(body)
    messages = content.get("messages")
    if not isinstance(messages, list) or not messages:
        raise InvalidBodyError(reason="'messages' must be a non-empty list")
    prompt = "\n".join(_message_text(each) for each in messages)
    is_stream = content.get("stream", False)
    if not isinstance(is_stream, bool):
        raise InvalidBodyError(reason="'stream' must be true or false")
    metadata = content.get("metadata") or {}
    if not isinstance(metadata, dict):
        raise InvalidBodyError(reason="'metadata' must be an object")
    request = _build_request(
        request_id=request_id,
        service=_check_name("model", content.get("model")),
        read_header=read_header,
        metadata={"team": content.get("user"), **metadata},
        now_ms=now_ms,
        limits=limits,
        prefix_blocks=hash_prefix_blocks(prompt),
        n_prompt_tokens=count_prompt_tokens(prompt),
    )
    return CallerRequest(request=request, is_stream=is_stream, body=body)


def parse_service_call(
    *,
    request_id: str,
    service: str,
    body: bytes,
    read_header: HeaderReader,
    now_ms: int,
    limits: CallerLimits,
) -> CallerRequest:
    """Parse a call of a plain service; its body is forwarded without parsing it."""
    request = _build_request(
        request_id=request_id,
        service=_check_name("service", service),
        read_header=read_header,
        metadata={},
        now_ms=now_ms,
        limits=limits,
    )
    return CallerRequest(request=request, is_stream=False, body=body)


def parse_action_query(
    *, request_id: str, fields: dict[str, str], now_ms: int, limits: CallerLimits
) -> Request:
    """Parse a query for the recorded outcome of an action.

    Raises
    ------
    InvalidFieldError
        If the service is missing, or both the permit and the idempotency key are.
    """
    permit = _check_key("permit", fields.get("permit", ""))
    key = _check_key("idempotency_key", fields.get("idempotency_key", ""))
    if not permit and not key:
        expected = "given, unless 'idempotency_key' is"
        raise InvalidFieldError(name="permit", expected=expected)
    return Request(
        request_id=request_id,
        service=_check_name("service", fields.get("service")),
        team=_check_optional_name("team", fields.get("team")),
        permit=permit,
        idempotency_key=key,
        repeatable=False,
        deadline_ms=now_ms + limits.default_deadline_ms,
    )


def parse_permit_request(body: bytes, read_header: HeaderReader) -> tuple[str, str]:
    """Return the service and team of a request for a permit."""
    content = _load_object(body)
    service = _check_name("service", content.get("service"))
    team = read_header("Damaskrill-Team") or content.get("team")
    return service, _check_optional_name("team", team)


def _load_object(body: bytes) -> dict[str, Any]:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidBodyError(reason="it is not valid JSON in UTF-8") from error
    if not isinstance(content, dict):
        raise InvalidBodyError(reason="it is not a JSON object")
    return content


def _message_text(message: Any) -> str:
    if not isinstance(message, dict):
        raise InvalidBodyError(reason="each entry of 'messages' must be an object")
    role, content = message.get("role"), message.get("content")
    if not isinstance(role, str):
        raise InvalidBodyError(reason="each message needs a 'role'")
    if isinstance(content, str):
        return f"{role}\n{content}"
    return f"{role}\n{json.dumps(content, sort_keys=True)}"


def _build_request(
    *,
    request_id: str,
    service: str,
    read_header: HeaderReader,
    metadata: dict[str, Any],
    now_ms: int,
    limits: CallerLimits,
    **fields: Any,
) -> Request:
    def read_name(header_name: str, field_name: str) -> str:
        value = read_header(header_name) or metadata.get(field_name)
        return _check_optional_name(header_name, value)

    deadline_ms = _check_number(
        "Damaskrill-Deadline-Ms",
        read_header("Damaskrill-Deadline-Ms"),
        low=1,
        high=limits.max_deadline_ms,
        default=limits.default_deadline_ms,
    )
    permit = _check_key("Damaskrill-Permit", read_header("Damaskrill-Permit"))
    key = _check_key("Idempotency-Key", read_header("Idempotency-Key"))
    return Request(
        request_id=request_id,
        service=service,
        team=read_name("Damaskrill-Team", "team"),
        chat=read_name("Damaskrill-Chat", "chat"),
        dossier=read_name("Damaskrill-Dossier", "dossier"),
        priority=_check_number(
            "Damaskrill-Priority",
            read_header("Damaskrill-Priority"),
            low=0,
            high=MAX_PRIORITY,
            default=-1,
        ),
        deadline_ms=now_ms + deadline_ms,
        permit=permit,
        idempotency_key=key,
        repeatable=not permit and not key,
        **fields,
    )


def _check_name(name: str, value: Any) -> str:
    text = _check_optional_name(name, value)
    if not text:
        raise InvalidFieldError(name=name, expected=NAME_FORMAT)
    return text


def _check_optional_name(name: str, value: Any) -> str:
    if value is None or value == "":
        return ""
    if not isinstance(value, str) or len(value) > MAX_NAME_LENGTH:
        raise InvalidFieldError(name=name, expected=NAME_FORMAT)
    if NAME_PATTERN.match(value) is None:
        raise InvalidFieldError(name=name, expected=NAME_FORMAT)
    return value


def _check_key(name: str, value: str) -> str:
    is_valid = len(value) <= MAX_KEY_LENGTH and KEY_PATTERN.match(value)
    if value and not is_valid:
        raise InvalidFieldError(name=name, expected=KEY_FORMAT)
    return value


def _check_number(name: str, value: str, *, low: int, high: int, default: int) -> int:
    if not value:
        return default
    is_number = value.isascii() and value.isdigit() and len(value) < 12
    if not is_number or not low <= int(value) <= high:
        raise InvalidFieldError(name=name, expected=f"a number from {low} to {high}")
    return int(value)
