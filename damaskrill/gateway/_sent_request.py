"""A request that has been sent to a server and not been answered yet."""

from attrs import frozen

from damaskrill.catalog import BackendServer
from damaskrill.gateway._attempt import Attempt
from damaskrill.http1 import ServerConnection

__all__ = ["SentRequest"]


@frozen(kw_only=True, eq=False)
class SentRequest:
    """One attempt in progress.

    Parameters
    ----------
    server : BackendServer
        The server that received the request.
    attempt : Attempt
        Receiver of the answer.
    connection : ServerConnection
        Connection to the server.
    sent_at_ms : float
        Time of sending, in milliseconds.
    """

    server: BackendServer
    attempt: Attempt
    connection: ServerConnection
    sent_at_ms: float

    @property
    def is_revived(self) -> bool:
        """Whether the held attempt has made progress."""
        return self.attempt.revived.done()

    @property
    def is_failed(self) -> bool:
        """Whether the held attempt ended without success."""
        return self.attempt.done.done()

    @property
    def is_accepted(self) -> bool:
        """Whether the head of a successful answer has been received."""
        return self.attempt.is_success

    @property
    def is_refused(self) -> bool:
        """Whether the attempt ended without the head of a successful answer."""
        return self.attempt.done.done() and not self.is_accepted
