"""Lists of the prompt parts that engines have cached."""

from typing import Any

import orjson

from damaskrill.catalog import BackendServer
from damaskrill.gateway import CacheAnswerError
from damaskrill.http1 import AnswerHead, OutgoingRequest
from damaskrill.platform._items import INVALID_VALUE
from damaskrill.platform._statements import build_question, read_start
from damaskrill.platform._values import check_text, read_number
from damaskrill.steering import CacheContent

__all__ = ["cache_request", "read_cache"]

LIST_PATH = b"/damaskrill/kv-list"
# An entry of the list: an empty text, ID of the part, tokens, model.
N_FIELDS = 4
# More parts than the memory of any engine holds.
MAX_PARTS = 100_000
STATUS_OK = 200


def cache_request(server: BackendServer) -> OutgoingRequest:
    """Return the request for the prompt parts that an engine has cached."""
    return build_question(server, LIST_PATH)


def read_cache(head: AnswerHead, body: bytes) -> CacheContent:
    """Return what an engine has cached.

    Raises
    ------
    CacheAnswerError
        If the answer is no complete and valid list.
    """
    if head.status != STATUS_OK:
        raise CacheAnswerError(reason=f"its status is {head.status}")
    try:
        content = orjson.loads(body)
        if not isinstance(content, dict):
            raise TypeError("it is not an object")
        started_at_ms = read_start(content)
        held = content["held"]
        if not isinstance(held, list) or len(held) > MAX_PARTS:
            raise TypeError("it has no list of parts")
        parts = [_read_part(each) for each in held]
    except INVALID_VALUE as error:
        reason = f"{type(error).__name__}: {error}"
        raise CacheAnswerError(reason=reason) from error
    return CacheContent(
        started_at_ms=started_at_ms,
        part_ids=frozenset(part_id for part_id, _ in parts),
        n_tokens=sum(n_tokens for _, n_tokens in parts),
    )


def _read_part(entry: Any) -> tuple[str, int]:
    if not isinstance(entry, list) or len(entry) != N_FIELDS:
        raise TypeError("a part is no list of four fields")
    _, part_id, _, model = entry
    for value in (part_id, model):
        if not isinstance(value, str):
            raise TypeError("a part or model is not a string")
        check_text("a part or model", value)
    n_tokens = read_number({"tokens": entry[2]}, "tokens")
    return part_id, int(n_tokens)
