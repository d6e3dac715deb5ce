"""Classes and wire sizes of control traffic."""

from enum import IntEnum

import cbor2

from damaskrill.codec import message_to_map
from damaskrill.messages import (
    LoadSums,
    MembersTold,
    Message,
    PeerPayload,
    Probe,
    ProbeAnswer,
    ProbeRequest,
    ReadLoad,
    RecordsHandedOver,
    SpillRecorded,
    TextAnnounced,
    TextAsked,
    TextDelta,
    TextPiece,
    TextPieceAsked,
)

__all__ = ["ControlClass", "control_class_of", "wire_size"]

# Frame header, correlation fields and masking key of the transport between routers.
FRAME_BYTES = 24
# Small request and its answer with a load report, including HTTP headers.
LOAD_PROBE_BYTES = 320


class ControlClass(IntEnum):
    """Classes of control traffic, the most urgent one first."""

    MEMBERSHIP = 0
    CONFIGURATION = 1
    LOAD = 2
    REST = 3


_CLASSES: dict[type[Message], ControlClass] = {
    Probe: ControlClass.MEMBERSHIP,
    ProbeAnswer: ControlClass.MEMBERSHIP,
    ProbeRequest: ControlClass.MEMBERSHIP,
    MembersTold: ControlClass.MEMBERSHIP,
    TextDelta: ControlClass.CONFIGURATION,
    TextAnnounced: ControlClass.CONFIGURATION,
    TextAsked: ControlClass.CONFIGURATION,
    TextPieceAsked: ControlClass.CONFIGURATION,
    TextPiece: ControlClass.CONFIGURATION,
    LoadSums: ControlClass.LOAD,
    ReadLoad: ControlClass.LOAD,
    SpillRecorded: ControlClass.REST,
    RecordsHandedOver: ControlClass.REST,
}


def control_class_of(message: Message) -> ControlClass | None:
    """Return the class of a payload or effect; None if it is not control traffic."""
    return _CLASSES.get(type(message))


def wire_size(message: Message) -> int:
    """Return the number of bytes of a payload or probe on the wire.

    Parameters
    ----------
    message : Message
        Payload between routers, or ``ReadLoad``.
    """
    if isinstance(message, PeerPayload):
        return len(cbor2.dumps(message_to_map(message))) + FRAME_BYTES
    return LOAD_PROBE_BYTES
