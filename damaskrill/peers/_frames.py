"""Encoding of the frames between routers.

Each frame is a CBOR array whose first item is the frame kind.
"""

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
# Initial byte of a CBOR array whose length follows in four bytes.
ARRAY_HEAD = b"\x9a"
# Frames contain plain values only, so every tag that the library would decode to an
# object of another type is refused.
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
    """First frame of the handshake in both directions.

    Parameters
    ----------
    protocol : int
        Version of the protocol.
    address, data_centre, incarnation : str
        The member that sends it.
    nonce : bytes
        Random bytes, generated for this handshake.
    """

    protocol: int
    address: str
    data_centre: str
    incarnation: str
    nonce: bytes


@frozen(kw_only=True)
class Proof:
    """Second frame of the handshake: proves that the sender has the fleet key."""

    digest: bytes


@frozen(kw_only=True)
class Payload:
    """A kernel payload with an optional body.

    Parameters
    ----------
    payload : PeerPayload
        The payload.
    body : bytes
        Bytes that belong to the payload, such as the body of an offered request;
        empty if none.
    """

    payload: PeerPayload
    body: bytes = b""


@frozen(kw_only=True)
class Chunk:
    """A chunk of the bytes of an answer.

    Parameters
    ----------
    stream_id : str
        Attempt or hop that the chunk belongs to.
    offset : int
        Position of the first byte in the stream.
    data : bytes
        The bytes.
    """

    stream_id: str
    offset: int
    data: bytes


@frozen(kw_only=True)
class ChunkBatch:
    """Chunks of one or more streams that were queued for the same peer.

    Parameters
    ----------
    chunks : tuple of Chunk
        In the order in which they were queued.
    """

    chunks: tuple[Chunk, ...]


@frozen(kw_only=True)
class Heartbeat:
    """Shows that the connection works in this direction while it is otherwise idle."""


@frozen(kw_only=True)
class Farewell:
    """Announces that the sender sends nothing more over this connection.

    Parameters
    ----------
    is_stopping : bool
        Whether the sender's process is stopping; otherwise only the connection is
        closed, because it is idle.
    """

    is_stopping: bool = False


Frame = Greeting | Proof | Payload | Chunk | ChunkBatch | Heartbeat | Farewell


def _refuse_tag(*_: Any) -> NoReturn:
    raise PeerFrameError(reason="it contains a CBOR tag")


_REFUSING_DECODERS = dict.fromkeys(REFUSED_TAGS, _refuse_tag)


def frame_name(frame: Frame) -> str:
    """Return the name under which a frame is counted."""
    if isinstance(frame, Payload):
        return type(frame.payload).__name__
    if isinstance(frame, Proof):
        return "Greeting"
    return type(frame).__name__


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame.

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
    """Join encoded chunks into one frame.

    Parameters
    ----------
    encoded_chunks : list of bytes
        Encoded ``Chunk`` frames.

    Returns
    -------
    bytes
        An encoded ``ChunkBatch``, or the chunk itself if there is only one.
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
    """Decode a frame.

    Parameters
    ----------
    content : bytes
        One message of the connection.

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
        raise PeerFrameError(reason=f"its CBOR is not valid ({error})") from error
    if not isinstance(items, list):
        raise PeerFrameError(reason="it is not a CBOR array")
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
    raise PeerFrameError(reason="its kind or fields are not valid")


def _decode_chunk(fields: list[Any]) -> Chunk:
    match fields:
        case [str() as stream_id, int() as offset, bytes() as data]:
            if offset < 0 or len(stream_id) > MAX_NAME_LENGTH:
                raise PeerFrameError(reason="a stream ID or offset is not valid")
            return Chunk(stream_id=stream_id, offset=offset, data=data)
    raise PeerFrameError(reason="its kind or fields are not valid")


def _decode_batched_chunk(items: Any) -> Chunk:
    match items:
        case [_FrameKind.CHUNK, *fields]:
            return _decode_chunk(fields)
    raise PeerFrameError(reason="a batch contains an item that is not a chunk")


def _decode_payload(fields: dict[str, Any]) -> PeerPayload:
    try:
        message = message_from_map(fields)
    except UndecodableMessageError as error:
        raise PeerFrameError(reason=error.sentence) from error
    if not isinstance(message, PeerPayload):
        raise PeerFrameError(reason="its message type is not allowed between routers")
    return message
