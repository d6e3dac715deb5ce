"""Messages about attempts to run a request on one backend server."""

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
    """Asks the owner of a backend server to run a request on it.

    Parameters
    ----------
    attempt_id : str
        Correlation ID of this hop, never reused.
    request : Request
        The request; its ``deadline_ms`` is not valid on the receiver's clock.
    backend_server : str
        Name of the backend server.
    remaining_ms : int
        Time until the deadline when sent, in milliseconds.
    resume_offset : int
        Bytes of the answer that the entry already has.
    text_version : int
        Version of the text that the selection is based on.
    max_wait_ms : int
        Longest wait in the owner's queue, in milliseconds; -1 uses the limit of the
        text, 0 requires an immediate answer.
    elapsed_ms : int
        Time that the request has spent at its entry, in milliseconds.
    follows_spill : bool
        Whether the owner may hint at another server that has the chat's cache.
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
    """The owner has queued the attempt and has sent nothing yet.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    expected_wait_ms : int
        Estimated wait in the queue, in milliseconds.
    """

    attempt_id: str
    expected_wait_ms: int = 0


@frozen(kw_only=True)
class AttemptStarted(PeerPayload):
    """The owner has started to send the request to the backend server.

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
    """A chat was served by a server other than the first choice of its key.

    Parameters
    ----------
    first_choice : str
        Backend server whose owner records the spill.
    chat : str
        The chat.
    backend_server : str
        Server that served it; empty if the first choice serves it again.
    """

    first_choice: str
    chat: str
    backend_server: str = ""


@frozen(kw_only=True)
class AttemptRefused(PeerPayload):
    """The owner has not sent the attempt to the backend server and will not.

    Parameters
    ----------
    attempt_id : str
        The refused attempt.
    causes : tuple of Cause
        Causes, from the nearest one to the root cause.
    load : int
        Load of the backend server as seen by its owner.
    retry_after_ms : int
        Time after which a retry may succeed, in milliseconds.
    hint_server : str
        Backend server that served the chat while this one was at its limit.
    is_transient : bool
        Whether the reason is the owner's view and not the backend server's load.
    """

    attempt_id: str
    causes: tuple[Cause, ...]
    load: int = 0
    retry_after_ms: int = 0
    hint_server: str = ""
    is_transient: bool = False


@frozen(kw_only=True)
class AttemptEnded(PeerPayload):
    """The backend server has sent its complete answer.

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
    """The attempt failed after it was offered.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    causes : tuple of Cause
        Causes, from the nearest one to the root cause.
    n_bytes : int
        Bytes of the answer that arrived in this attempt.
    not_run : bool
        Whether it is certain that the backend server has not run the request.
    """

    attempt_id: str
    causes: tuple[Cause, ...]
    n_bytes: int = 0
    not_run: bool = False


@frozen(kw_only=True)
class CancelAttempt(PeerPayload):
    """The entry cancels an attempt whose answer it no longer needs."""

    attempt_id: str


@frozen(kw_only=True)
class DispatchAttempt(Message):
    """Effect: send the request to the backend server."""

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
    """The first byte of the answer's body has arrived.

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
    """The backend server has completed its answer."""

    attempt_id: str
    n_bytes: int
    digest: str
    status: int = 200
    between_tokens_ms: int = 0


@frozen(kw_only=True)
class BackendFailed(Message):
    """The dispatch failed.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    n_bytes : int
        Bytes of the answer that arrived.
    n_bytes_sent : int
        Bytes of the request that may have reached the backend server.
    refused_by_server : bool
        Whether the server answered that it has not run the request.
    reason : str
        Description for the cause chain.
    connection_reset : bool
        Whether the connection was reset, for example by a restarted process.
    """

    attempt_id: str
    n_bytes: int = 0
    n_bytes_sent: int = 0
    refused_by_server: bool = False
    reason: str = ""
    connection_reset: bool = False
