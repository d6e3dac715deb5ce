"""Keeps the highest valid text that this process has seen."""

from collections.abc import Sequence

from damaskrill.base import BaseDecider
from damaskrill.configuration import InvalidConfigurationError, parse_text
from damaskrill.kernel._registry import registry
from damaskrill.messages import Member, Message, TextAccepted, TextRead, TextRefused

__all__ = ["TextReplica"]


@registry.register("decider", "configuration")
class TextReplica(BaseDecider):
    """Accepts a text only if its version is higher than the last one's.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Seed of the choice of readers.
    """

    handles = (TextRead,)

    def __init__(self, *, own: Member, random_state: int = 0) -> None:
        self._version = 0
        self._refused_version = 0

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Take a text from the platform."""
        assert isinstance(message, TextRead)
        if message.version <= self._version:
            return ()
        if message.version == self._refused_version:
            return ()
        try:
            text = parse_text(message.content, version=message.version)
        except InvalidConfigurationError as error:
            self._refused_version = message.version
            faults = tuple(fault.describe("text") for fault in error.faults)
            return (TextRefused(version=message.version, faults=faults),)
        self._version = message.version
        return (TextAccepted(text=text),)
