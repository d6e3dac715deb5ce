"""Whole texts in compressed pieces, for routers that start."""

import zlib
from collections.abc import Sequence

import attrs
import cbor2

from damaskrill.messages import TextPiece, TextSection

__all__ = ["PackedText", "PieceCollector", "pack_sections", "unpack_sections"]

PIECE_BYTES = 16_384
MAX_UNPACKED_BYTES = 8 * 1_048_576
MAX_PIECES = 256


@attrs.frozen(kw_only=True)
class PackedText:
    """A whole text, ready to be sent.

    Parameters
    ----------
    version : int
        Its version.
    pieces : tuple of bytes
        Its pieces.
    """

    version: int
    pieces: tuple[bytes, ...]

    def piece(self, number: int) -> TextPiece:
        """Return a piece as a message."""
        return TextPiece(
            version=self.version,
            number=number,
            n_pieces=len(self.pieces),
            content=self.pieces[number],
        )


def pack_sections(sections: Sequence[TextSection], version: int) -> PackedText:
    """Compress and divide a whole text."""
    rows = [[each.header, each.content, each.version] for each in sections]
    packed = zlib.compress(cbor2.dumps(rows))
    pieces = [packed[n : n + PIECE_BYTES] for n in range(0, len(packed), PIECE_BYTES)]
    return PackedText(version=version, pieces=tuple(pieces))


def unpack_sections(packed: bytes) -> list[TextSection] | None:
    """Return the sections of a whole text; None if it is damaged or too large."""
    try:
        decompressor = zlib.decompressobj()
        content = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            return None
        return [
            TextSection(header=str(header), content=bytes(body), version=int(version))
            for header, body, version in cbor2.loads(content)
        ]
    except (zlib.error, cbor2.CBORDecodeError, TypeError, ValueError):
        return None


class PieceCollector:
    """Collects the pieces of one version of a text from one peer.

    Parameters
    ----------
    address : str
        The peer.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._version = 0
        self._pieces: list[bytes] = []

    @property
    def address(self) -> str:
        """The peer."""
        return self._address

    @property
    def version(self) -> int:
        """Version that is collected; 0 before the first piece."""
        return self._version

    @property
    def next_number(self) -> int:
        """Number of the piece that is needed next."""
        return len(self._pieces)

    def take(self, piece: TextPiece) -> bytes | None:
        """Take a piece; return the whole once it is there."""
        if piece.number == 0:
            self._version = piece.version
            self._pieces = []
        is_next = piece.number == self.next_number and piece.version == self._version
        if not is_next or piece.n_pieces > MAX_PIECES:
            return None
        self._pieces.append(piece.content)
        if len(self._pieces) < piece.n_pieces:
            return None
        return b"".join(self._pieces)
