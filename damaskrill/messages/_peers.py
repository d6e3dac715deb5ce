"""Members of the fleet and the transport between them."""

from attrs import frozen

from damaskrill.messages._base import InternalMessage, Message, PeerPayload

__all__ = [
    "Member",
    "MembersChanged",
    "OpenWork",
    "PeerConnected",
    "PeerDelivered",
    "PeerLost",
    "PeerUnreachable",
    "ProcessPaused",
    "SendToPeer",
    "StopRequested",
    "StopServing",
]


@frozen(kw_only=True, order=True)
class Member:
    """One router process.

    Parameters
    ----------
    address : str
        ``IP:port`` of its peer interface.
    data_centre : str
        Where it runs.
    incarnation : str
        Unique to this process; a restarted process has another one.
    """

    address: str
    data_centre: str
    incarnation: str = ""

    @property
    def member_id(self) -> str:
        """Address and incarnation, unique for all time."""
        return f"{self.address}/{self.incarnation}"


@frozen(kw_only=True)
class SendToPeer(Message):
    """Effect: send a payload to the router at an address.

    Parameters
    ----------
    address : str
        Peer address.
    payload : PeerPayload
        What to send.
    incarnation : str
        If not empty, the only process that may take it.
    """

    address: str
    payload: PeerPayload
    incarnation: str = ""


@frozen(kw_only=True)
class PeerDelivered(Message):
    """A payload has come from another router."""

    sender: Member
    payload: PeerPayload


@frozen(kw_only=True)
class PeerConnected(Message):
    """A connection to another router stands and its greeting was accepted."""

    peer: Member


@frozen(kw_only=True)
class PeerLost(Message):
    """The connection to another router broke or went silent."""

    peer: Member


@frozen(kw_only=True)
class PeerUnreachable(Message):
    """A payload was given up before any of its bytes was sent.

    Parameters
    ----------
    address : str
        Peer address that it was meant for.
    payload : PeerPayload
        The payload.
    """

    address: str
    payload: PeerPayload


@frozen(kw_only=True)
class ProcessPaused(InternalMessage):
    """The process has not run for longer than it should.

    Parameters
    ----------
    duration_ms : int
        Time between its last two turns, in milliseconds.
    """

    duration_ms: int


@frozen(kw_only=True)
class StopRequested(Message):
    """The operators want a graceful stop."""


@frozen(kw_only=True)
class OpenWork(InternalMessage):
    """What a part of a stopping process still has to end; sent at each tick.

    Parameters
    ----------
    part : str
        ``entry`` or ``owner``.
    n_open : int
        Requests or attempts that have not ended.
    """

    part: str
    n_open: int


@frozen(kw_only=True)
class StopServing(Message):
    """Effect: all requests have ended and the peers know; the process may exit."""


@frozen(kw_only=True)
class MembersChanged(InternalMessage):
    """The set of routers that are thought to be alive has changed.

    Parameters
    ----------
    members : tuple of Member
        All of them, this process included.
    n_listed : int
        Routers that the host list or a peer has named as live.
    n_reachable : int
        How many of these have answered lately, this process included.
    trusted : bool
        Whether the view is fresh enough to admit work.
    """

    members: tuple[Member, ...]
    n_listed: int
    n_reachable: int
    trusted: bool = True
