"""Probes between routers and the news that rides on them."""

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
    """What is held to be true of a router process."""

    UNVERIFIED = "unverified"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@frozen(kw_only=True)
class MemberNews:
    """State of one router process.

    Parameters
    ----------
    address, data_centre, incarnation : str
        The process.
    state : MemberState
        Its state.
    number : int
        Raised by the process itself to refute a suspicion.
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
        Number that the answer must carry.
    news : tuple of MemberNews
        News that rides along.
    wants_members : bool
        Whether the sender needs all that the receiver knows of the fleet.
    text_version, text_digest : int
        Text in force at the sender.
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
        The probe's number.
    news : tuple of MemberNews
        News that rides along.
    target : str
        Address of the router that is alive if it is not the sender.
    text_version, text_digest : int
        Text in force at the sender.
    """

    sequence: int
    news: tuple[MemberNews, ...] = ()
    target: str = ""
    text_version: int = 0
    text_digest: int = 0


@frozen(kw_only=True)
class ProbeRequest(PeerPayload):
    """Asks a router to probe another one that has not answered the sender."""

    sequence: int
    target: str
    news: tuple[MemberNews, ...] = ()


@frozen(kw_only=True)
class MembersTold(PeerPayload):
    """A piece of all that the sender knows of the fleet.

    Parameters
    ----------
    news : tuple of MemberNews
        Some of the routers.
    is_last : bool
        Whether no further piece follows.
    """

    news: tuple[MemberNews, ...]
    is_last: bool = False


@frozen(kw_only=True)
class TextHeld(InternalMessage):
    """Version and digest of the text in force, for the probes.

    Parameters
    ----------
    version, digest : int
        Of the text.
    """

    version: int
    digest: int
