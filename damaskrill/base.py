"""Small base classes that the other subpackages derive from."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import ClassVar

from damaskrill.messages import Message

__all__ = ["BaseDecider"]


class BaseDecider(ABC):
    """A part of the kernel: typed message and time in, typed messages out.

    Attributes
    ----------
    handles : tuple of type
        Message types that the kernel hands to this decider.

    Notes
    -----
    A decider has no socket, no thread, no wall clock and no global random state.
    Its state is its own; it learns about others through messages only.
    """

    handles: ClassVar[tuple[type[Message], ...]] = ()

    @abstractmethod
    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Take one message.

        Parameters
        ----------
        message : Message
            An instance of one of the types in ``handles``.
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        sequence of Message
            Effects for the outside and internal messages for other deciders.
        """
