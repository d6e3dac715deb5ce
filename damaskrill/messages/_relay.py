"""Messages from the answer relay to the kernel and to the next router."""

from attrs import frozen

from damaskrill.messages._base import Message, PeerPayload

__all__ = ["AnswerHead", "AttemptProgress"]


@frozen(kw_only=True)
class AnswerHead(PeerPayload):
    """Head of a relayed answer, sent before its first byte; it bypasses the kernel.

    Parameters
    ----------
    stream_id : str
        The attempt's ID or, between a key's owner and the entry, the hop's ID.
    status : int
        HTTP status of the backend server.
    content_type : str
        Media type of the answer.
    """

    stream_id: str
    status: int = 200
    content_type: str = "application/json"


@frozen(kw_only=True)
class AttemptProgress(Message):
    """Bytes of an attempt at the entry, reported before its owner counts as lost.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    n_bytes : int
        Bytes received in this attempt, from its resume offset.
    """

    attempt_id: str
    n_bytes: int
