"""Replication of the store's changes over links."""

from collections.abc import Callable, Iterable

from damaskrill.feed import START, FeedReplica, Position
from damaskrill.mesh._frames import FeedRequest, FeedUpdate, SentFrame, Update, encode
from damaskrill.mesh._link import Link

__all__ = ["FeedReplication"]

# Larger changes, such as a configuration with many routes, are announced, and each
# router requests them over one link: they would fill the links of small hosts if they
# arrived over all of them.
MAX_PUSHED_BYTES = 1_500
# After this time a request is repeated over another link.
REQUEST_TIMEOUT_MS = 1_000
# A peer may send an older position while a push to it is in transit.
IN_TRANSIT_MS = 1_000


class FeedReplication:
    """Sends changes of the store to peers that lack them, and requests missing ones.

    Parameters
    ----------
    replica : FeedReplica
        Replica of the store.
    apply_feed : callable
        Applies received changes, given the address of their sender.
    send : callable
        Sends a frame or an encoded frame over a link.
    """

    def __init__(
        self,
        *,
        replica: FeedReplica,
        apply_feed: Callable[[FeedUpdate, str], None],
        send: Callable[[Link, SentFrame | bytes], None],
    ) -> None:
        self._replica = replica
        self._apply_feed = apply_feed
        self._send = send
        self._requested_at_ms = float("-inf")
        self._requested_from: Link | None = None
        # Encoded changes up to the present position, by the position that they follow.
        self._encoded: dict[Position, bytes] = {}
        self._encoded_position = START

    def start(self, link: Link) -> None:
        """Send what a new peer cannot learn from the store."""
        superseded = self._replica.superseded
        if superseded:
            at = self._replica.position
            frame = FeedUpdate(
                after=at.revision, position=at, superseded=tuple(superseded)
            )
            self._send(link, frame)

    def push(self, links: Iterable[Link], now_ms: float) -> None:
        """Send new changes over links, or announce them if they are large."""
        for link in list(links):
            self._feed(link, now_ms)

    def handle_position(self, link: Link, position: Position, now_ms: float) -> None:
        """Handle the position of a peer's replica."""
        is_in_transit = now_ms - link.fed_at_ms < IN_TRANSIT_MS
        if position >= link.peer_position or not is_in_transit:
            link.peer_position = position
        if position > self._replica.position:
            self._request(link, now_ms)
        else:
            self._feed(link, now_ms)

    def handle_request(self, link: Link, position: Position, now_ms: float) -> None:
        """Send a peer the changes that it requests."""
        if position < self._replica.position:
            self._send_changes(link, self._encode_after(position), now_ms)

    def handle_feed(self, link: Link, feed: FeedUpdate) -> None:
        """Apply changes received from a peer."""
        if self._requested_from is link:
            self._requested_from = None
        self._apply_feed(feed, link.address)
        link.peer_position = max(link.peer_position, feed.position)

    def handle_link_closed(self, link: Link) -> None:
        """Allow another request if one was pending on the link."""
        if self._requested_from is link:
            self._requested_from = None

    def _request(self, link: Link, now_ms: float) -> None:
        is_pending = now_ms - self._requested_at_ms < REQUEST_TIMEOUT_MS
        if self._requested_from is not None and is_pending:
            return
        self._requested_from, self._requested_at_ms = link, now_ms
        self._send(link, FeedRequest(position=self._replica.position))

    def _feed(self, link: Link, now_ms: float) -> None:
        own = self._replica.position
        if link.peer_position >= own or link.announced_position >= own:
            return
        data = self._encode_after(link.peer_position)
        if len(data) <= MAX_PUSHED_BYTES:
            self._send_changes(link, data, now_ms)
        else:
            link.announced_position = own
            self._send(link, Update(position=own))

    def _send_changes(self, link: Link, data: bytes, now_ms: float) -> None:
        link.peer_position = self._replica.position
        link.fed_at_ms = now_ms
        self._send(link, data)

    def _encode_after(self, position: Position) -> bytes:
        own = self._replica.position
        if self._encoded_position != own:
            self._encoded.clear()
            self._encoded_position = own
        data = self._encoded.get(position)
        if data is None:
            data = self._encoded[position] = encode(self._build_feed(position))
        return data

    def _build_feed(self, position: Position) -> FeedUpdate:
        own = self._replica.position
        if position.era == own.era and position.revision:
            changes = self._replica.changes_after(position.revision)
            if changes is not None:
                return FeedUpdate(
                    after=position.revision, position=own, changes=tuple(changes)
                )
        return FeedUpdate(
            after=0,
            position=own,
            changes=tuple(self._replica.items),
            superseded=tuple(self._replica.superseded),
        )
