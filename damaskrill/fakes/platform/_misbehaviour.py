"""Kinds of misbehaviour of fake servers, and the parts and heads of their answers."""

from enum import Enum

__all__ = ["EndlessPart", "Misbehaviour", "UnframedHead"]


class Misbehaviour(Enum):
    """Defect or peculiarity of the answers of a server."""

    NONE = "none"
    FULL = "full"
    MOVED = "moved"
    ERROR = "error"
    FAILED_RUN = "failed_run"
    HANG = "hang"
    DEADLINE = "deadline"
    RESET = "reset"
    CUT = "cut"
    SECOND_ANSWER = "second_answer"
    OTHER_ID = "other_id"
    NO_SEAL = "no_seal"
    ENCODED = "encoded"
    NO_LENGTH = "no_length"
    NO_LENGTH_RESET = "no_length_reset"
    NO_LENGTH_LATE_RESET = "no_length_late_reset"
    NO_LENGTH_MID_EVENT = "no_length_mid_event"
    ENDLESS = "endless"
    ENDLESS_HEAD = "endless_head"
    ENDLESS_BODY = "endless_body"
    RUBBISH = "rubbish"
    MID_EVENT = "mid_event"
    DRIP = "drip"
    LATE_COPY = "late_copy"
    LATE_REFUSAL = "late_refusal"
    COPIED_REFUSAL = "copied_refusal"
    PAUSE = "pause"


class EndlessPart(Enum):
    """Part of an answer that a server with `Misbehaviour.ENDLESS` never ends."""

    JUNK = "junk"
    SLOW_JUNK = "slow junk"
    STATUS_LINE = "a status line"
    HEADER_VALUE = "a header's value"
    HEADERS = "headers"
    INFORMATIONAL_HEADS = "informational heads"
    CHUNK_LINE = "a chunk line"
    CHUNK_EXTENSIONS = "chunk extensions"
    TINY_CHUNKS = "tiny chunks"
    TRAILERS = "trailers"
    CHUNKED_BODY = "a chunked body"
    UNFRAMED_BODY = "a body without length"
    SIZED_BODY = "a body of false length"
    UNSEALED_BODY = "a slow body without seal"
    EVENT = "an event"
    UNFRAMED_EVENT = "an event without length"
    TINY_EVENTS = "tiny events"
    NUMBERED_EVENTS = "numbered events"


class UnframedHead(Enum):
    """Head of an answer that has neither length nor chunks."""

    CLOSE = "HTTP/1.1 with Connection: close"
    PLAIN = "HTTP/1.1"
    HTTP_10 = "HTTP/1.0"
