"""Fleet members and the transport between routers."""

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
        Data centre that it runs in.
    incarnation : str
        ID of this process; it changes with each restart.
    """

    address: str
    data_centre: str
    incarnation: str = ""

    @property
    def member_id(self) -> str:
        """Address and incarnation, never reused."""
        return f"{self.address}/{self.incarnation}"


@frozen(kw_only=True)
class SendToPeer(Message):
    """Effect: send a payload to the router at an address.

    Parameters
    ----------
    address : str
        Peer address.
    payload : PeerPayload
        Payload to send.
    incarnation : str
        If not empty, the only process that may handle the payload.
    """

    address: str
    payload: PeerPayload
    incarnation: str = ""


@frozen(kw_only=True)
class PeerDelivered(Message):
    """A payload from another router has arrived."""

    sender: Member
    payload: PeerPayload


@frozen(kw_only=True)
class PeerConnected(Message):
    """A connection to another router is open and its greeting was accepted."""

    peer: Member


@frozen(kw_only=True)
class PeerLost(Message):
    """The connection to another router was closed or timed out."""

    peer: Member


@frozen(kw_only=True)
class PeerUnreachable(Message):
    """A payload was dropped before any of its bytes was sent.

    Parameters
    ----------
    address : str
        Peer address that it was addressed to.
    payload : PeerPayload
        The dropped payload.
    """

    address: str
    payload: PeerPayload


@frozen(kw_only=True)
class ProcessPaused(InternalMessage):
    """The process did not run for longer than the tick interval allows.

    Parameters
    ----------
    duration_ms : int
        Time between its last two inputs, in milliseconds.
    """

    duration_ms: int


@frozen(kw_only=True)
class StopRequested(Message):
    """The operators request a graceful stop."""


@frozen(kw_only=True)
class OpenWork(InternalMessage):
    """Unfinished work of one component of a stopping process; sent at each tick.

    Parameters
    ----------
    part : str
        Component: ``entry`` or ``owner``.
    n_open : int
        Number of requests or attempts that have not ended.
    """

    part: str
    n_open: int


@frozen(kw_only=True)
class StopServing(Message):
    """Effect: all requests have ended and peers are notified; the process may exit."""


@frozen(kw_only=True)
class MembersChanged(InternalMessage):
    """The set of routers that are considered alive has changed.

    Parameters
    ----------
    members : tuple of Member
        All routers that are considered alive, including this process.
    n_listed : int
        Number of routers that the host list or a peer reported as alive.
    n_reachable : int
        Number of listed routers that have answered recently, including this process.
    trusted : bool
        Whether the view is recent enough to admit work.
    """

    members: tuple[Member, ...]
    n_listed: int
    n_reachable: int
    trusted: bool = True
