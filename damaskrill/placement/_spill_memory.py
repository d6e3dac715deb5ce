"""Backend servers of spilled chats, which their first choice could not serve."""

from collections import OrderedDict

__all__ = ["SpillMemory"]

MAX_CHATS = 8_192


class SpillMemory:
    """Bounded LRU map from spilled chats to the servers that served them.

    Parameters
    ----------
    max_chats : int, default=8192
        Maximum number of chats.
    """

    def __init__(self, *, max_chats: int = MAX_CHATS) -> None:
        self.max_chats = max_chats
        self._server_of_chat: OrderedDict[str, str] = OrderedDict()

    def __len__(self) -> int:
        return len(self._server_of_chat)

    def record(self, chat: str, backend_server: str) -> None:
        """Store which server served a chat; an empty name removes the chat."""
        self._server_of_chat.pop(chat, None)
        if backend_server:
            self._server_of_chat[chat] = backend_server
        while len(self._server_of_chat) > self.max_chats:
            self._server_of_chat.popitem(last=False)

    def find(self, chat: str) -> str:
        """Return the server of a spilled chat; empty if the chat is not stored."""
        server = self._server_of_chat.get(chat, "")
        if server:
            self._server_of_chat.move_to_end(chat)
        return server
