"""What a peer tells about the servers that a request reaches through it."""

from collections.abc import Callable

from damaskrill.gateway._attempt import (
    AttemptResult,
    Broken,
    CompleteAnswer,
    NotRun,
    StreamEnded,
)
from damaskrill.http1 import FailureKind
from damaskrill.steering import AnswerMetadata, ServerGrant

__all__ = ["PeerReport"]


class PeerReport:
    """Reads what a peer tells in the head of its answer and within a stream.

    Parameters
    ----------
    split_events : callable
        Splits events of a peer into those for the caller and what it tells.

    Notes
    -----
    The head tells of the servers before it, and a stream of each further server before
    this one gets the request.
    """

    def __init__(
        self, split_events: Callable[[bytes], tuple[bytes, ServerGrant | None]]
    ) -> None:
        self._split_events = split_events
        self._grant: ServerGrant | None = None

    def read_metadata(self, metadata: AnswerMetadata) -> None:
        """Read the head of the answer."""
        self._grant = metadata.grant

    def read_events(self, events: bytes) -> bytes:
        """Read complete events, and return those for the caller."""
        events, grant = self._split_events(events)
        self._grant = grant or self._grant
        return events

    def find_grant(self, result: AttemptResult) -> ServerGrant | None:
        """Return what the peer has told in the end; None if it may have spent more.

        Parameters
        ----------
        result : AttemptResult
            How the attempt at the peer ended.
        """
        match result:
            case CompleteAnswer() | StreamEnded() | NotRun():
                return self._grant
            case Broken(failure=failure) if failure.kind in (
                FailureKind.CLOSED,
                FailureKind.RESET,
            ):
                return self._grant
            case _:
                # What a silent peer has sent may not have arrived.
                return None
