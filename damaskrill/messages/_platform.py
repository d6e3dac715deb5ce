"""What the platform publishes: the operators' text and the list of hosts."""

from attrs import frozen

from damaskrill.configuration._model import FleetText
from damaskrill.messages._base import InternalMessage, Message

__all__ = [
    "HostEntry",
    "HostListRead",
    "ReadHostList",
    "ReadText",
    "TextAccepted",
    "TextRead",
    "TextReadFailed",
    "TextRefused",
]


@frozen(kw_only=True)
class HostEntry:
    """One line of the platform's list of hosts.

    Parameters
    ----------
    address : str
        ``IP:port``.
    data_centre : str
        Where the host stands.
    role : str
        ``router``, or the service that its backend server serves.
    leaving : bool
        Whether it has been told to leave.
    """

    address: str
    data_centre: str
    role: str = "router"
    leaving: bool = False


@frozen(kw_only=True)
class ReadHostList(Message):
    """Effect: read the list of hosts."""


@frozen(kw_only=True)
class HostListRead(Message):
    """The list of hosts, as old as the platform serves it."""

    hosts: tuple[HostEntry, ...]


@frozen(kw_only=True)
class ReadText(Message):
    """Effect: read or watch the text.

    Parameters
    ----------
    after_version : int
        Version that is already known; a watch returns once there is a higher one.
    wait_ms : int
        How long the watch may wait, in milliseconds; 0 reads at once.
    """

    after_version: int = 0
    wait_ms: int = 0


@frozen(kw_only=True)
class TextRead(Message):
    """The platform has served a text."""

    version: int
    content: bytes


@frozen(kw_only=True)
class TextReadFailed(Message):
    """The platform's configuration service did not answer, or had nothing new."""

    reason: str


@frozen(kw_only=True)
class TextAccepted(InternalMessage):
    """A valid text with a higher version is in force in this process."""

    text: FleetText


@frozen(kw_only=True)
class TextRefused(Message):
    """Effect for logs and status: a text was refused whole; the last one stays.

    Parameters
    ----------
    version : int
        Version that the platform gave it.
    faults : tuple of str
        One plain sentence a fault, with its line.
    """

    version: int
    faults: tuple[str, ...]
