"""What the relay of answers tells the kernel and the next router."""

from attrs import frozen

from damaskrill.messages._base import Message, PeerPayload

__all__ = ["AnswerHead", "AttemptProgress"]


@frozen(kw_only=True)
class AnswerHead(PeerPayload):
    """Goes before the first byte of a relayed answer; the kernel never sees it.

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
    """Bytes that the entry has of an attempt, told before its owner is lost.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    n_bytes : int
        Bytes received in this attempt, from its resume offset.
    """

    attempt_id: str
    n_bytes: int
