"""Messages about data of the platform: the operators' text and the host list."""

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
    """One line of the platform's host list.

    Parameters
    ----------
    address : str
        ``IP:port``.
    data_centre : str
        Data centre of the host.
    role : str
        ``router``, or the service of its backend server.
    leaving : bool
        Whether it has been ordered to leave.
    """

    address: str
    data_centre: str
    role: str = "router"
    leaving: bool = False


@frozen(kw_only=True)
class ReadHostList(Message):
    """Effect: read the host list."""


@frozen(kw_only=True)
class HostListRead(Message):
    """Host list as the platform served it; it may be out of date."""

    hosts: tuple[HostEntry, ...]


@frozen(kw_only=True)
class ReadText(Message):
    """Effect: read or watch the text.

    Parameters
    ----------
    after_version : int
        Version that the caller has; a watch returns once there is a higher one.
    wait_ms : int
        Longest wait of the watch, in milliseconds; 0 reads without waiting.
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
    """The platform's configuration service did not answer or had no new version."""

    reason: str


@frozen(kw_only=True)
class TextAccepted(InternalMessage):
    """A valid text with a higher version became active in this process."""

    text: FleetText


@frozen(kw_only=True)
class TextRefused(Message):
    """Effect for logs and status: a text was rejected as a whole.

    The previous text stays active.

    Parameters
    ----------
    version : int
        Version that the platform assigned.
    faults : tuple of str
        One sentence per fault, with its line.
    """

    version: int
    faults: tuple[str, ...]
