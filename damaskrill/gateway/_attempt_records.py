"""Log lines and server outcomes of attempts."""

from typing import TYPE_CHECKING

from attrs import define

from damaskrill.catalog import BackendServer
from damaskrill.gateway._attempt import AttemptResult
from damaskrill.gateway._outcomes import classify_outcome, describe_request
from damaskrill.gateway._sent_request import SentRequest
from damaskrill.steering import RequestMetadata, ServerOutcome, short_server_id

if TYPE_CHECKING:
    from damaskrill.gateway._dispatcher import RequestDispatcher

__all__ = ["AttemptRecords"]

# After this many targets without an answer, the server is considered unresponsive.
SILENT_TARGETS = 2.0


@define(kw_only=True, eq=False)
class AttemptRecords:
    """Records how the attempts of one request ended.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        State that all exchanges share.
    metadata : RequestMetadata
        Metadata of the request.
    team : str
        Name of the caller's team; empty if it has none.
    """

    dispatcher: "RequestDispatcher"
    metadata: RequestMetadata
    team: str

    def evaluate(
        self,
        sent: SentRequest,
        result: AttemptResult,
        *,
        target_ms: float,
        is_expired: bool,
    ) -> ServerOutcome | None:
        """Record the end of an attempt, and return its outcome for the server.

        Parameters
        ----------
        sent : SentRequest
            The attempt.
        result : AttemptResult
            How it ended.
        target_ms : float
            Latency target of the request, in milliseconds.
        is_expired : bool
            Whether the request's time limit has passed or its caller has left.

        Returns
        -------
        ServerOutcome or None
            None if the attempt gives no evidence about the server.
        """
        waited_ms = self.dispatcher.now_ms - sent.sent_at_ms
        is_late = waited_ms > SILENT_TARGETS * target_ms
        found = classify_outcome(
            result,
            is_expired=is_expired,
            is_silent=is_late and not sent.attempt.has_head,
            waited_ms=waited_ms,
        )
        if found is None:
            return None
        outcome, reason = found
        self.record(sent.server, outcome, reason, sent=sent)
        if outcome is ServerOutcome.GOOD:
            server_id = short_server_id(sent.server.key)
            self.dispatcher.loads.speeds.observe_duration(server_id, waited_ms)
        return outcome

    def record_stalled(self, sent: SentRequest) -> None:
        """Record an attempt that is ended because another server has accepted."""
        waited_ms = self.dispatcher.now_ms - sent.sent_at_ms
        self.record(
            sent.server,
            ServerOutcome.STALLED,
            f"another server has accepted the request after {waited_ms:.0f} ms",
            sent=sent,
        )

    def record(
        self,
        server: BackendServer,
        outcome: ServerOutcome,
        reason: str,
        *,
        sent: SentRequest | None = None,
    ) -> None:
        """Record an outcome for a server, and log it unless it is good.

        Parameters
        ----------
        server : BackendServer
            The server.
        outcome : ServerOutcome
            Outcome of an attempt.
        reason : str
            Description for the log.
        sent : SentRequest or None, default=None
            The attempt; None if the request was not sent.
        """
        dispatcher, now_ms = self.dispatcher, self.dispatcher.now_ms
        if outcome is not ServerOutcome.GOOD:
            dispatcher.log.warn(
                "attempt_failed",
                request_id=self.metadata.request_id,
                backend_server=server.server_id,
                data_centre=server.data_centre,
                causes=[
                    {
                        "code": outcome.value,
                        "sentence": outcome.sentence,
                        "subject": server.server_id,
                    }
                ],
                detail=reason,
                load=round(dispatcher.loads.estimate(server.key, now_ms)),
                wait_ms=0 if sent is None else round(now_ms - sent.sent_at_ms),
                **describe_request(
                    self.metadata, sent.attempt if sent else None, team=self.team
                ),
            )
        dispatcher.record_outcome(server, outcome)

    def record_going_on(
        self,
        server: BackendServer,
        *,
        last_event: int,
        first_event: int | None,
        origin: int | None,
        evidence: str,
    ) -> None:
        """Log that a stream goes on after a break, at its first events.

        Parameters
        ----------
        server : BackendServer
            The server that goes on with it.
        last_event : int
            Last event that the caller has received before.
        first_event : int or None
            First event that it receives now; None if it has no number.
        origin : int or None
            Origin of the stream; None if it does not matter.
        evidence : str
            By which evidence the origin is known.
        """
        self.dispatcher.log.write(
            "stream_goes_on",
            request_id=self.metadata.request_id,
            stream_id=self.metadata.stream_id,
            server=server.server_id,
            version=server.version,
            last_event=last_event,
            first_event=first_event,
            origin=origin,
            evidence=evidence,
        )
