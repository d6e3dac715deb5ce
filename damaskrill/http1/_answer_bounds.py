"""Bounds on the bytes of an answer that are not its body."""

from damaskrill.http1._errors import InvalidAnswerError

__all__ = ["MAX_ANSWER_HEAD_BYTES", "AnswerBounds", "check_head_start", "check_status"]

# Bytes of one head, of one chunk line or of all trailers.
MAX_ANSWER_HEAD_BYTES = 65_536
# Bytes of heads, chunk lines and trailers together, in addition to a share of the body:
# the events of a stream are about four times as long as the lines of their chunks.
MAX_FRAMING_BYTES = MAX_ANSWER_HEAD_BYTES
FRAMING_SHARE = 0.25
# Bytes of chunk lines alone, in addition to that share: each chunk takes some 20 us.
MAX_CHUNK_LINE_BYTES = 32_768
# A chunk's line and its end, at the least: "1", CR, LF, CR and LF.
MIN_CHUNK_LINE_BYTES = 5
# Interim answers such as 100 and 103; sound servers send one or two.
MAX_INFORMATIONAL_HEADS = 32
PROTOCOL_NAME = b"HTTP/"
# Statuses of final answers (RFC 9110, section 15); the parser leaves out lower ones.
MAX_STATUS = 599


class AnswerBounds:
    """Bounds of one answer as its bytes are received.

    Notes
    -----
    The parser bounds each part of an answer, but neither the number of interim answers
    nor that of chunks, each of which costs more time than its bytes.
    """

    def __init__(self) -> None:
        self._n_received = 0
        self._n_body = 0
        self._n_chunks = 0
        self._n_informational = 0

    def add_received(self, n_bytes: int) -> None:
        """Count received bytes."""
        self._n_received += n_bytes

    def add_body(self, n_bytes: int, *, begins_chunk: bool) -> None:
        """Count parsed bytes of the body.

        Raises
        ------
        InvalidAnswerError
            If its chunks are too small.
        """
        self._n_body += n_bytes
        self._n_chunks += begins_chunk
        n_framing = MIN_CHUNK_LINE_BYTES * self._n_chunks
        if n_framing > MAX_CHUNK_LINE_BYTES + FRAMING_SHARE * self._n_body:
            raise InvalidAnswerError(reason=f"{self._n_chunks} tiny chunks")

    def add_informational(self) -> None:
        """Count an interim answer.

        Raises
        ------
        InvalidAnswerError
            If there are too many.
        """
        self._n_informational += 1
        if self._n_informational > MAX_INFORMATIONAL_HEADS:
            raise InvalidAnswerError(reason="too many interim answers")

    def check_framing(self) -> None:
        """Check the bytes besides the body, after all complete parts were parsed.

        Raises
        ------
        InvalidAnswerError
            If they are too many for the size of the body.
        """
        n_framing = self._n_received - self._n_body
        if n_framing > MAX_FRAMING_BYTES + FRAMING_SHARE * self._n_body:
            raise InvalidAnswerError(reason=f"{n_framing} bytes of framing")


def check_head_start(data: bytes) -> None:
    """Check the first bytes of a head that is not complete.

    Raises
    ------
    InvalidAnswerError
        If no head begins with them.
    """
    start = data[: len(PROTOCOL_NAME)]
    if not PROTOCOL_NAME.startswith(start):
        raise InvalidAnswerError(reason=f"it begins with {start!r}")


def check_status(status: int) -> None:
    """Check the status of a final answer.

    Raises
    ------
    InvalidAnswerError
        If it is no status of HTTP.
    """
    if status > MAX_STATUS:
        raise InvalidAnswerError(reason=f"its status is {status}")
