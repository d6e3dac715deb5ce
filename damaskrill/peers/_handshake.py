"""Handshake that authenticates both routers by the shared fleet key.

Notes
-----
Both sides send a ``Greeting`` with a random nonce. The dialling side then sends its
``Proof``: HMAC-SHA256 with the fleet key over its role and both greetings. The
listening side sends its own proof only after it has verified the one of the dialler.
The key itself is never sent. The role prevents a proof from being reflected to its
sender, and the nonces prevent replays.

References
----------
RFC 2104, HMAC: Keyed-Hashing for Message Authentication.
"""

import hashlib
import hmac
import secrets
from typing import Any

from websockets.exceptions import ConnectionClosed

from damaskrill.exceptions import PeerFrameError, PeerRefusedError
from damaskrill.messages import Member
from damaskrill.peers._counters import ByteCounters
from damaskrill.peers._frames import (
    Frame,
    Greeting,
    Proof,
    decode_frame,
    encode_frame,
    frame_name,
)

__all__ = ["PROTOCOL_VERSION", "handshake_as_dialler", "handshake_as_listener"]

PROTOCOL_VERSION = 1
NONCE_BYTES = 16
MAX_GREETING_BYTES = 2048
DIALLER_ROLE = b"dialler"
LISTENER_ROLE = b"listener"


class _HandshakeChannel:
    """Send and receive the frames of one handshake."""

    def __init__(
        self, connection: Any, counters: ByteCounters, peer_address: str
    ) -> None:
        self._connection = connection
        self._counters = counters
        self.peer_address = peer_address

    async def send(self, frame: Frame) -> bytes:
        content = encode_frame(frame)
        self._counters.count_sent(frame_name(frame), len(content))
        try:
            await self._connection.send(content)
        except ConnectionClosed as error:
            raise self.refusal(_close_reason(error)) from error
        return content

    async def receive(self) -> tuple[Frame, bytes]:
        try:
            content = await self._connection.recv()
        except ConnectionClosed as error:
            raise self.refusal(_close_reason(error)) from error
        if not isinstance(content, bytes) or len(content) > MAX_GREETING_BYTES:
            raise PeerFrameError(reason="a handshake message is too long or not binary")
        frame = decode_frame(content)
        self._counters.count_received(frame_name(frame), len(content))
        return frame, content

    def refusal(self, reason: str) -> PeerRefusedError:
        return PeerRefusedError(address=self.peer_address, reason=reason)


def _close_reason(error: ConnectionClosed) -> str:
    if error.rcvd is not None and error.rcvd.reason:
        return f"it closed the connection ({error.rcvd.reason})"
    return "it closed the connection during the handshake"


def _build_greeting(own: Member) -> Greeting:
    return Greeting(
        protocol=PROTOCOL_VERSION,
        address=own.address,
        data_centre=own.data_centre,
        incarnation=own.incarnation,
        nonce=secrets.token_bytes(NONCE_BYTES),
    )


def _compute_proof(
    fleet_key: str, role: bytes, dialler_greeting: bytes, listener_greeting: bytes
) -> bytes:
    parts = (role, dialler_greeting, listener_greeting)
    content = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(fleet_key.encode(), content, hashlib.sha256)


def _check_greeting(channel: _HandshakeChannel, frame: Frame) -> Member:
    if not isinstance(frame, Greeting):
        raise PeerFrameError(reason="the first frame is not a greeting")
    if frame.protocol != PROTOCOL_VERSION:
        reason = f"it uses protocol {frame.protocol}, expected {PROTOCOL_VERSION}"
        raise channel.refusal(reason)
    if len(frame.nonce) != NONCE_BYTES:
        raise PeerFrameError(reason="the nonce of the greeting has a wrong length")
    return Member(
        address=frame.address,
        data_centre=frame.data_centre,
        incarnation=frame.incarnation,
    )


def _check_proof(channel: _HandshakeChannel, frame: Frame, expected: bytes) -> None:
    if not isinstance(frame, Proof):
        raise PeerFrameError(reason="the second frame is not a proof")
    if not hmac.compare_digest(frame.digest, expected):
        raise channel.refusal("its fleet key differs")


async def handshake_as_dialler(
    connection: Any,
    *,
    own: Member,
    fleet_key: str,
    address: str,
    counters: ByteCounters,
) -> Member:
    """Perform the handshake with the router that was dialled.

    Parameters
    ----------
    connection : websockets connection
        Newly opened connection.
    own : Member
        This process.
    fleet_key : str
        Secret that all routers of the fleet share.
    address : str
        Address that was dialled.
    counters : ByteCounters
        Counters for the frames of the handshake.

    Returns
    -------
    Member
        The process at the other end.

    Raises
    ------
    PeerRefusedError
        If the protocol, key or address differs, or the other side refuses.
    PeerFrameError
        If a frame violates the protocol.
    """
    channel = _HandshakeChannel(connection, counters, address)
    sent = await channel.send(_build_greeting(own))
    frame, received = await channel.receive()
    peer = _check_greeting(channel, frame)
    await channel.send(
        Proof(digest=_compute_proof(fleet_key, DIALLER_ROLE, sent, received))
    )
    frame, _ = await channel.receive()
    _check_proof(
        channel, frame, _compute_proof(fleet_key, LISTENER_ROLE, sent, received)
    )
    if peer.address != address:
        raise channel.refusal(f"it identified itself as {peer.address}")
    return peer


async def handshake_as_listener(
    connection: Any, *, own: Member, fleet_key: str, counters: ByteCounters
) -> Member:
    """Perform the handshake with a router that dialled this one.

    Parameters
    ----------
    connection, own, fleet_key, counters
        As for ``handshake_as_dialler``.

    Returns
    -------
    Member
        The process at the other end.

    Raises
    ------
    PeerRefusedError
        If the protocol or key differs.
    PeerFrameError
        If a frame violates the protocol.
    """
    channel = _HandshakeChannel(connection, counters, _remote_address(connection))
    frame, received = await channel.receive()
    peer = _check_greeting(channel, frame)
    channel.peer_address = peer.address
    sent = await channel.send(_build_greeting(own))
    frame, _ = await channel.receive()
    _check_proof(
        channel, frame, _compute_proof(fleet_key, DIALLER_ROLE, received, sent)
    )
    await channel.send(
        Proof(digest=_compute_proof(fleet_key, LISTENER_ROLE, received, sent))
    )
    return peer


def _remote_address(connection: Any) -> str:
    remote = connection.remote_address
    return f"{remote[0]}:{remote[1]}" if remote else "an unknown address"
