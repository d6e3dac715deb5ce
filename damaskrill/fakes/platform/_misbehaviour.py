"""Kinds of misbehaviour of a fake server."""

from enum import Enum

__all__ = ["Misbehaviour"]


class Misbehaviour(Enum):
    """Defect or peculiarity of the answers of a server."""

    NONE = "none"
    FULL = "full"
    MOVED = "moved"
    ERROR = "error"
    HANG = "hang"
    DEADLINE = "deadline"
    RESET = "reset"
    CUT = "cut"
    SECOND_ANSWER = "second_answer"
    OTHER_ID = "other_id"
    NO_SEAL = "no_seal"
    ENCODED = "encoded"
    NO_LENGTH = "no_length"
    NO_LENGTH_RESET = "no_length_reset"
    NO_LENGTH_MID_EVENT = "no_length_mid_event"
    ENDLESS_HEAD = "endless_head"
    ENDLESS_BODY = "endless_body"
    RUBBISH = "rubbish"
    MID_EVENT = "mid_event"
    DRIP = "drip"
    LATE_COPY = "late_copy"
    LATE_REFUSAL = "late_refusal"
    PAUSE = "pause"
