"""Attempts to have a request run by one backend server."""

from attrs import frozen

from damaskrill.messages._base import Message, PeerPayload
from damaskrill.messages._outcomes import Cause
from damaskrill.messages._requests import Request

__all__ = [
    "AttemptEnded",
    "AttemptFailed",
    "AttemptQueued",
    "AttemptRefused",
    "AttemptStarted",
    "BackendEnded",
    "BackendFailed",
    "BackendFirstToken",
    "CancelAttempt",
    "CancelDispatch",
    "DispatchAttempt",
    "OfferAttempt",
    "SpillRecorded",
]


@frozen(kw_only=True)
class OfferAttempt(PeerPayload):
    """Asks the owner of a backend server to run a request there.

    Parameters
    ----------
    attempt_id : str
        Correlation ID of this hop; unique, never used twice.
    request : Request
        The request; ``deadline_ms`` has no meaning on another process's clock.
    backend_server : str
        Name of the backend server.
    remaining_ms : int
        Time until the deadline when sent, in milliseconds.
    resume_offset : int
        Bytes of the answer that the entry already has.
    text_version : int
        Version of the text that the choice is based on.
    max_wait_ms : int
        Longest wait in the owner's queue, in milliseconds; -1 leaves it to the text,
        0 asks for an answer at once.
    elapsed_ms : int
        Time that the request has spent at its entry, in milliseconds.
    follows_spill : bool
        Whether the owner may name another server that has the chat's cache.
    """

    attempt_id: str
    request: Request
    backend_server: str
    remaining_ms: int
    resume_offset: int = 0
    text_version: int = 0
    max_wait_ms: int = -1
    elapsed_ms: int = 0
    follows_spill: bool = False


@frozen(kw_only=True)
class AttemptQueued(PeerPayload):
    """The owner holds the attempt in its queue; nothing has been sent.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    expected_wait_ms : int
        Estimate, in milliseconds.
    """

    attempt_id: str
    expected_wait_ms: int = 0


@frozen(kw_only=True)
class AttemptStarted(PeerPayload):
    """The owner has begun to send the request to the backend server.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    wait_ms : int
        Time that it spent in the queue, in milliseconds.
    """

    attempt_id: str
    wait_ms: int = 0


@frozen(kw_only=True)
class SpillRecorded(PeerPayload):
    """A chat was served by another server than the first choice of its key.

    Parameters
    ----------
    first_choice : str
        Backend server whose owner is to remember it.
    chat : str
        The chat.
    backend_server : str
        Where it was served; empty if the first choice has it again.
    """

    first_choice: str
    chat: str
    backend_server: str = ""


@frozen(kw_only=True)
class AttemptRefused(PeerPayload):
    """The owner has sent nothing to the backend server and will not.

    Parameters
    ----------
    attempt_id : str
        The refused attempt.
    causes : tuple of Cause
        Why, from the nearest cause to the root.
    load : int
        Load of the backend server that the owner saw.
    retry_after_ms : int
        When asking again may help, in milliseconds.
    hint_server : str
        Backend server that served the chat when this one was at its limit.
    is_transient : bool
        Whether the reason is the router's view and not the backend server's load.
    """

    attempt_id: str
    causes: tuple[Cause, ...]
    load: int = 0
    retry_after_ms: int = 0
    hint_server: str = ""
    is_transient: bool = False


@frozen(kw_only=True)
class AttemptEnded(PeerPayload):
    """The backend server has sent its whole answer.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    n_bytes : int
        Bytes sent in this attempt, from its resume offset.
    digest : str
        Digest of these bytes, in hexadecimal.
    status : int
        HTTP status of the backend server.
    between_tokens_ms : int
        Mean time between tokens, in milliseconds; 0 if unknown.
    """

    attempt_id: str
    n_bytes: int
    digest: str
    status: int = 200
    between_tokens_ms: int = 0


@frozen(kw_only=True)
class AttemptFailed(PeerPayload):
    """The attempt broke after it was offered.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    causes : tuple of Cause
        Why, from the nearest cause to the root.
    n_bytes : int
        Bytes of the answer that arrived in this attempt.
    not_run : bool
        Whether it is certain that the backend server has not run it.
    """

    attempt_id: str
    causes: tuple[Cause, ...]
    n_bytes: int = 0
    not_run: bool = False


@frozen(kw_only=True)
class CancelAttempt(PeerPayload):
    """The entry has no more use for an attempt."""

    attempt_id: str


@frozen(kw_only=True)
class DispatchAttempt(Message):
    """Effect: send the request to the backend server now."""

    attempt_id: str
    request: Request
    backend_server: str
    address: str
    resume_offset: int = 0
    fencing_number: int = 0


@frozen(kw_only=True)
class CancelDispatch(Message):
    """Effect: stop the backend server's work on an attempt."""

    attempt_id: str


@frozen(kw_only=True)
class BackendFirstToken(Message):
    """The first byte of the answer's body has come.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    latency_ms : int
        Time since the dispatch, in milliseconds.
    """

    attempt_id: str
    latency_ms: int


@frozen(kw_only=True)
class BackendEnded(Message):
    """The backend server has ended its answer as it should."""

    attempt_id: str
    n_bytes: int
    digest: str
    status: int = 200
    between_tokens_ms: int = 0


@frozen(kw_only=True)
class BackendFailed(Message):
    """The dispatch broke.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    n_bytes : int
        Bytes of the answer that arrived.
    n_bytes_sent : int
        Bytes of the request that may have reached the backend server.
    refused_by_server : bool
        Whether the server itself says that it has not run the request.
    reason : str
        Plain words for the cause chain.
    connection_reset : bool
        Whether the connection was reset, as by a restarted process.
    """

    attempt_id: str
    n_bytes: int = 0
    n_bytes_sent: int = 0
    refused_by_server: bool = False
    reason: str = ""
    connection_reset: bool = False
