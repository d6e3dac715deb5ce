"""Texts on their way from router to router."""

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
        Its header, without brackets.
    content : bytes
        Its lines, the header's line included.
    version : int
        Version of the text since which it has been as it is, or a later one.
    """

    header: str
    content: bytes
    version: int


@frozen(kw_only=True)
class RemovedSection:
    """A section that a text no longer has.

    Parameters
    ----------
    header : str
        Its header, without brackets.
    version : int
        Version of the text since which it is gone, or a later one.
    """

    header: str
    version: int


@frozen(kw_only=True)
class TextDelta(PeerPayload):
    """Everything that has changed in a text since a version.

    Parameters
    ----------
    base_version : int
        Version that the receiver must have, or a later one.
    version : int
        Version that it has afterwards.
    digest : int
        Digest of the whole text afterwards.
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
    """The sender has a version whose changes are too large to be sent unasked."""

    version: int


@frozen(kw_only=True)
class TextAsked(PeerPayload):
    """Asks for what has changed since the version that the sender has."""

    version: int


@frozen(kw_only=True)
class TextPieceAsked(PeerPayload):
    """Asks for one piece of a whole text."""

    version: int
    number: int


@frozen(kw_only=True)
class TextPiece(PeerPayload):
    """One piece of a whole text, compressed.

    Parameters
    ----------
    version : int
        Version of the text.
    number, n_pieces : int
        Which piece, from 0, and how many there are.
    content : bytes
        The piece.
    """

    version: int
    number: int
    n_pieces: int
    content: bytes
