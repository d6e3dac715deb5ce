"""Base classes of the other subpackages."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import ClassVar

from damaskrill.messages import Message

__all__ = ["BaseDecider"]


class BaseDecider(ABC):
    """Component of the kernel that maps a message and a time to further messages.

    Attributes
    ----------
    handles : tuple of type
        Message types that the kernel delivers to this decider.

    Notes
    -----
    A decider uses no socket, thread, wall clock or global random state, so that its
    decisions are deterministic. It shares no state with other deciders and
    communicates with them by messages only.
    """

    handles: ClassVar[tuple[type[Message], ...]] = ()

    @abstractmethod
    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Handle one message.

        Parameters
        ----------
        message : Message
            An instance of one of the types in ``handles``.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        sequence of Message
            Effects for the environment and internal messages for other deciders.
        """
