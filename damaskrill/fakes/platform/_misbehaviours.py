"""Defects of the answers of fake backend servers."""

from enum import Enum

__all__ = ["EndlessPart", "Misbehaviour", "UnframedHead"]


class Misbehaviour(Enum):
    """Defect of the answers of a server."""

    NONE = "none"
    FULL = "full"
    MOVED = "moved"
    ERROR = "error"
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
    RUBBISH = "rubbish"
    MID_EVENT = "mid_event"
    DRIP = "drip"
    LATE_COPY = "late_copy"
    LATE_REFUSAL = "late_refusal"
    PAUSE = "pause"
    ENDLESS = "endless"
    UNFRAMED = "unframed"
    UNFRAMED_MID_EVENT = "unframed_mid_event"
    UNFRAMED_RESET = "unframed_reset"


class EndlessPart(Enum):
    """Part of an answer that a server with `Misbehaviour.ENDLESS` never ends."""

    JUNK = "junk"
    SLOW_JUNK = "slow junk"
    STATUS_LINE = "a status line"
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
    TINY_EVENTS = "tiny events"
    NUMBERED_EVENTS = "numbered events"


class UnframedHead(Enum):
    """Head of an answer that has neither length nor chunks."""

    CLOSE = "HTTP/1.1 with Connection: close"
    PLAIN = "HTTP/1.1"
    HTTP_10 = "HTTP/1.0"
