"""Probes between routers, with piggybacked membership updates."""

from enum import Enum

from attrs import frozen

from damaskrill.messages._base import InternalMessage, PeerPayload

__all__ = [
    "MemberNews",
    "MemberState",
    "MembersTold",
    "Probe",
    "ProbeAnswer",
    "ProbeRequest",
    "TextHeld",
]


class MemberState(Enum):
    """State of a router process as seen by another router."""

    UNVERIFIED = "unverified"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@frozen(kw_only=True)
class MemberNews:
    """Membership update: state of one router process.

    Parameters
    ----------
    address, data_centre, incarnation : str
        Router process that the update is about.
    state : MemberState
        State of the process.
    number : int
        Version of the state; the process itself raises it to refute a suspicion.
    """

    address: str
    data_centre: str
    incarnation: str
    state: MemberState = MemberState.ALIVE
    number: int = 0


@frozen(kw_only=True)
class Probe(PeerPayload):
    """Asks a router whether it is alive.

    Parameters
    ----------
    sequence : int
        Sequence number, which the answer repeats.
    news : tuple of MemberNews
        Piggybacked membership updates.
    wants_members : bool
        Whether the sender requests the complete member list of the receiver.
    text_version, text_digest : int
        Version and digest of the sender's active text.
    """

    sequence: int
    news: tuple[MemberNews, ...] = ()
    wants_members: bool = False
    text_version: int = 0
    text_digest: int = 0


@frozen(kw_only=True)
class ProbeAnswer(PeerPayload):
    """Answers a probe.

    Parameters
    ----------
    sequence : int
        Sequence number of the probe.
    news : tuple of MemberNews
        Piggybacked membership updates.
    target : str
        Address of the router that is alive, if it is not the sender.
    text_version, text_digest : int
        Version and digest of the sender's active text.
    """

    sequence: int
    news: tuple[MemberNews, ...] = ()
    target: str = ""
    text_version: int = 0
    text_digest: int = 0


@frozen(kw_only=True)
class ProbeRequest(PeerPayload):
    """Asks a router to probe another one that did not answer the sender."""

    sequence: int
    target: str
    news: tuple[MemberNews, ...] = ()


@frozen(kw_only=True)
class MembersTold(PeerPayload):
    """Chunk of the sender's complete member list.

    Parameters
    ----------
    news : tuple of MemberNews
        Membership updates of some of the routers.
    is_last : bool
        Whether this is the last chunk.
    """

    news: tuple[MemberNews, ...]
    is_last: bool = False


@frozen(kw_only=True)
class TextHeld(InternalMessage):
    """Version and digest of the active text, which probes carry.

    Parameters
    ----------
    version, digest : int
        Version and digest of the text.
    """

    version: int
    digest: int
