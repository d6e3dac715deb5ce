"""Messages that propagate operators' texts between routers."""

from attrs import frozen

from damaskrill.messages._base import PeerPayload

__all__ = [
    "RemovedSection",
    "TextAnnounced",
    "TextAsked",
    "TextDelta",
    "TextPiece",
    "TextPieceAsked",
    "TextSection",
]


@frozen(kw_only=True)
class TextSection:
    """One section of a text.

    Parameters
    ----------
    header : str
        Header without brackets.
    content : bytes
        Lines of the section, including the header line.
    version : int
        Version of the text that last changed the section, or a later one.
    """

    header: str
    content: bytes
    version: int


@frozen(kw_only=True)
class RemovedSection:
    """A section that was removed from a text.

    Parameters
    ----------
    header : str
        Header without brackets.
    version : int
        Version of the text that removed the section, or a later one.
    """

    header: str
    version: int


@frozen(kw_only=True)
class TextDelta(PeerPayload):
    """All changes of a text since a version.

    Parameters
    ----------
    base_version : int
        Lowest version that the receiver must have.
    version : int
        Version after the changes.
    digest : int
        Digest of the full text after the changes.
    sections : tuple of TextSection
        New and changed sections.
    removed : tuple of RemovedSection
        Removed sections.
    """

    base_version: int
    version: int
    digest: int
    sections: tuple[TextSection, ...] = ()
    removed: tuple[RemovedSection, ...] = ()


@frozen(kw_only=True)
class TextAnnounced(PeerPayload):
    """Announces a version whose changes are too large to be pushed."""

    version: int


@frozen(kw_only=True)
class TextAsked(PeerPayload):
    """Requests all changes since the version of the sender."""

    version: int


@frozen(kw_only=True)
class TextPieceAsked(PeerPayload):
    """Requests one chunk of a full text."""

    version: int
    number: int


@frozen(kw_only=True)
class TextPiece(PeerPayload):
    """One chunk of a compressed full text.

    Parameters
    ----------
    version : int
        Version of the text.
    number, n_pieces : int
        Index of the chunk, from 0, and number of chunks.
    content : bytes
        Bytes of the chunk.
    """

    version: int
    number: int
    n_pieces: int
    content: bytes
