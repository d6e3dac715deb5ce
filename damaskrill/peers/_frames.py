"""Frames between routers as CBOR arrays; the first item tells their kind."""

from enum import IntEnum
from typing import Any, NoReturn

import cbor2
from attrs import frozen

from damaskrill.codec import message_from_map, message_to_map
from damaskrill.exceptions import PeerFrameError, UndecodableMessageError
from damaskrill.messages import PeerPayload

__all__ = [
    "Chunk",
    "ChunkBatch",
    "Farewell",
    "Frame",
    "Greeting",
    "Heartbeat",
    "Payload",
    "Proof",
    "decode_frame",
    "encode_frame",
    "frame_name",
    "join_chunks",
]

MAX_NESTING_DEPTH = 24
MAX_NAME_LENGTH = 256
# First byte of a CBOR array whose length follows in four bytes.
ARRAY_HEAD = b"\x9a"
# Frames hold plain values only, so every tag that the library would turn into an
# object of its own is refused.
REFUSED_TAGS = (
    *range(0, 6),
    *(25, 28, 29, 30, 35, 36, 37, 52, 54, 100, 256, 258, 260, 261, 1004, 43000),
    55799,
)


class _FrameKind(IntEnum):
    GREETING = 0
    PROOF = 1
    PAYLOAD = 2
    CHUNK = 3
    HEARTBEAT = 4
    FAREWELL = 5
    CHUNK_BATCH = 6


@frozen(kw_only=True)
class Greeting:
    """First frame in both directions.

    Parameters
    ----------
    protocol : int
        Version of the protocol.
    address, data_centre, incarnation : str
        The member that greets.
    nonce : bytes
        Fresh random bytes.
    """

    protocol: int
    address: str
    data_centre: str
    incarnation: str
    nonce: bytes


@frozen(kw_only=True)
class Proof:
    """Second frame in both directions: proves that the fleet key is known."""

    digest: bytes


@frozen(kw_only=True)
class Payload:
    """A kernel payload with the body that belongs to it.

    Parameters
    ----------
    payload : PeerPayload
        The payload.
    body : bytes
        For example the body of an offered request; empty if none.
    """

    payload: PeerPayload
    body: bytes = b""


@frozen(kw_only=True)
class Chunk:
    """Part of an answer's bytes.

    Parameters
    ----------
    stream_id : str
        Attempt or hop that it belongs to.
    offset : int
        Position of its first byte in the stream.
    data : bytes
        The bytes.
    """

    stream_id: str
    offset: int
    data: bytes


@frozen(kw_only=True)
class ChunkBatch:
    """Chunks of several streams that were queued at the same time.

    Parameters
    ----------
    chunks : tuple of Chunk
        In the order in which they were queued.
    """

    chunks: tuple[Chunk, ...]


@frozen(kw_only=True)
class Heartbeat:
    """Shows that the connection works in this direction."""


@frozen(kw_only=True)
class Farewell:
    """Says that the sender puts nothing more onto this connection.

    Parameters
    ----------
    is_stopping : bool
        Whether the sender's process stops, rather than the connection being idle.
    """

    is_stopping: bool = False


Frame = Greeting | Proof | Payload | Chunk | ChunkBatch | Heartbeat | Farewell


def _refuse_tag(*_: Any) -> NoReturn:
    raise PeerFrameError(reason="it holds a tagged value")


_REFUSING_DECODERS = dict.fromkeys(REFUSED_TAGS, _refuse_tag)


def frame_name(frame: Frame) -> str:
    """Return the name under which a frame's bytes are counted."""
    if isinstance(frame, Payload):
        return type(frame.payload).__name__
    if isinstance(frame, Proof):
        return "Greeting"
    return type(frame).__name__


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame.

    Parameters
    ----------
    frame : Frame
        Any frame.

    Returns
    -------
    bytes
        A CBOR array.
    """
    return cbor2.dumps(_frame_items(frame))


def join_chunks(encoded_chunks: list[bytes]) -> bytes:
    """Return the bytes of a batch of chunks that are encoded already.

    Parameters
    ----------
    encoded_chunks : list of bytes
        Each a chunk's frame.

    Returns
    -------
    bytes
        The chunk's own frame if there is only one; else a batch.
    """
    if len(encoded_chunks) == 1:
        return encoded_chunks[0]
    head = ARRAY_HEAD + (len(encoded_chunks) + 1).to_bytes(4, "big")
    kind = bytes([int(_FrameKind.CHUNK_BATCH)])
    return head + kind + b"".join(encoded_chunks)


def _frame_items(frame: Frame) -> list[Any]:
    match frame:
        case Payload():
            fields = message_to_map(frame.payload)
            return [int(_FrameKind.PAYLOAD), fields, frame.body]
        case Chunk():
            return [int(_FrameKind.CHUNK), frame.stream_id, frame.offset, frame.data]
        case ChunkBatch():
            items = [_frame_items(chunk) for chunk in frame.chunks]
            return [int(_FrameKind.CHUNK_BATCH), *items]
        case Heartbeat():
            return [int(_FrameKind.HEARTBEAT)]
        case Farewell():
            return [int(_FrameKind.FAREWELL), frame.is_stopping]
        case Proof():
            return [int(_FrameKind.PROOF), frame.digest]
        case Greeting():
            member = [frame.address, frame.data_centre, frame.incarnation]
            return [int(_FrameKind.GREETING), frame.protocol, *member, frame.nonce]


def decode_frame(content: bytes) -> Frame:
    """Read the bytes of a frame.

    Parameters
    ----------
    content : bytes
        What came from the connection.

    Returns
    -------
    Frame
        The frame.

    Raises
    ------
    PeerFrameError
        If the bytes are not exactly one valid frame.
    """
    try:
        items = cbor2.loads(
            content,
            tag_hook=_refuse_tag,
            semantic_decoders=_REFUSING_DECODERS,
            max_depth=MAX_NESTING_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    except Exception as error:
        raise PeerFrameError(reason=f"it is not plain CBOR ({error})") from error
    if not isinstance(items, list):
        raise PeerFrameError(reason="it is not an array")
    return _build_frame(items)


def _build_frame(items: list[Any]) -> Frame:
    match items:
        case [_FrameKind.PAYLOAD, dict() as fields, bytes() as body]:
            return Payload(payload=_decode_payload(fields), body=body)
        case [_FrameKind.CHUNK, *fields]:
            return _decode_chunk(fields)
        case [_FrameKind.CHUNK_BATCH, *chunks]:
            return ChunkBatch(
                chunks=tuple(_decode_batched_chunk(each) for each in chunks)
            )
        case [_FrameKind.HEARTBEAT]:
            return Heartbeat()
        case [_FrameKind.FAREWELL, bool() as is_stopping]:
            return Farewell(is_stopping=is_stopping)
        case [_FrameKind.PROOF, bytes() as digest]:
            return Proof(digest=digest)
        case [
            _FrameKind.GREETING,
            int() as protocol,
            str() as address,
            str() as data_centre,
            str() as incarnation,
            bytes() as nonce,
        ]:
            names = (address, data_centre, incarnation)
            if any(len(name) > MAX_NAME_LENGTH for name in names):
                raise PeerFrameError(reason="a name in the greeting is too long")
            return Greeting(
                protocol=protocol,
                address=address,
                data_centre=data_centre,
                incarnation=incarnation,
                nonce=nonce,
            )
    raise PeerFrameError(reason="its kind or its fields are unknown")


def _decode_chunk(fields: list[Any]) -> Chunk:
    match fields:
        case [str() as stream_id, int() as offset, bytes() as data]:
            if offset < 0 or len(stream_id) > MAX_NAME_LENGTH:
                raise PeerFrameError(reason="a chunk's stream or offset is invalid")
            return Chunk(stream_id=stream_id, offset=offset, data=data)
    raise PeerFrameError(reason="its kind or its fields are unknown")


def _decode_batched_chunk(items: Any) -> Chunk:
    match items:
        case [_FrameKind.CHUNK, *fields]:
            return _decode_chunk(fields)
    raise PeerFrameError(reason="a batch holds something else than chunks")


def _decode_payload(fields: dict[str, Any]) -> PeerPayload:
    try:
        message = message_from_map(fields)
    except UndecodableMessageError as error:
        raise PeerFrameError(reason=error.sentence) from error
    if not isinstance(message, PeerPayload):
        raise PeerFrameError(reason="its content is not a payload between routers")
    return message
