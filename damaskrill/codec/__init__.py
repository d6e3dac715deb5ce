"""Serialization of messages as maps, for frames between routers and for traces."""

from damaskrill.codec._messages import message_from_map, message_to_map

__all__ = ["message_from_map", "message_to_map"]
