"""Compressed full texts in chunks, for routers that start."""

import zlib
from collections.abc import Sequence

import attrs
import cbor2

from damaskrill.messages import TextPiece, TextSection

__all__ = [
    "ChunkCollector",
    "CompressedText",
    "compress_sections",
    "decompress_sections",
]

CHUNK_BYTES = 16_384
MAX_DECOMPRESSED_BYTES = 8 * 1_048_576
MAX_CHUNKS = 256


@attrs.frozen(kw_only=True)
class CompressedText:
    """Compressed full text, ready to be sent.

    Parameters
    ----------
    version : int
        Version of the text.
    chunks : tuple of bytes
        Chunks of the compressed text.
    """

    version: int
    chunks: tuple[bytes, ...]

    def chunk(self, number: int) -> TextPiece:
        """Return a chunk as a message."""
        return TextPiece(
            version=self.version,
            number=number,
            n_pieces=len(self.chunks),
            content=self.chunks[number],
        )


def compress_sections(sections: Sequence[TextSection], version: int) -> CompressedText:
    """Compress a full text and split it into chunks."""
    rows = [[each.header, each.content, each.version] for each in sections]
    compressed = zlib.compress(cbor2.dumps(rows))
    chunks = [
        compressed[n : n + CHUNK_BYTES] for n in range(0, len(compressed), CHUNK_BYTES)
    ]
    return CompressedText(version=version, chunks=tuple(chunks))


def decompress_sections(compressed: bytes) -> list[TextSection] | None:
    """Return the sections of a full text; None if it is damaged or too large."""
    try:
        decompressor = zlib.decompressobj()
        content = decompressor.decompress(compressed, MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            return None
        return [
            TextSection(header=str(header), content=bytes(body), version=int(version))
            for header, body, version in cbor2.loads(content)
        ]
    except (zlib.error, cbor2.CBORDecodeError, TypeError, ValueError):
        return None


class ChunkCollector:
    """Collector of the chunks of one text version from one peer.

    Parameters
    ----------
    address : str
        Address of the peer.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._version = 0
        self._chunks: list[bytes] = []

    @property
    def address(self) -> str:
        """Address of the peer."""
        return self._address

    @property
    def version(self) -> int:
        """Version that is being collected; 0 before the first chunk."""
        return self._version

    @property
    def next_number(self) -> int:
        """Number of the next chunk."""
        return len(self._chunks)

    def add(self, chunk: TextPiece) -> bytes | None:
        """Add a chunk; return the compressed text once it is complete."""
        if chunk.number == 0:
            self._version = chunk.version
            self._chunks = []
        is_next = chunk.number == self.next_number and chunk.version == self._version
        if not is_next or chunk.n_pieces > MAX_CHUNKS:
            return None
        self._chunks.append(chunk.content)
        if len(self._chunks) < chunk.n_pieces:
            return None
        return b"".join(self._chunks)
