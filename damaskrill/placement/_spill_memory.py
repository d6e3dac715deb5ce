"""Where chats were served that their first choice could not take."""

from collections import OrderedDict

__all__ = ["SpillMemory"]

MAX_CHATS = 8_192


class SpillMemory:
    """Bounded memory of spilled chats; the longest unused goes first.

    Parameters
    ----------
    max_chats : int, default=8192
        Chats that are remembered at most.
    """

    def __init__(self, *, max_chats: int = MAX_CHATS) -> None:
        self.max_chats = max_chats
        self._server_of_chat: OrderedDict[str, str] = OrderedDict()

    def __len__(self) -> int:
        return len(self._server_of_chat)

    def record(self, chat: str, backend_server: str) -> None:
        """Remember where a chat was served; an empty server forgets it."""
        self._server_of_chat.pop(chat, None)
        if backend_server:
            self._server_of_chat[chat] = backend_server
        while len(self._server_of_chat) > self.max_chats:
            self._server_of_chat.popitem(last=False)

    def find(self, chat: str) -> str:
        """Return where a chat was served; empty if it was not spilled."""
        server = self._server_of_chat.get(chat, "")
        if server:
            self._server_of_chat.move_to_end(chat)
        return server
