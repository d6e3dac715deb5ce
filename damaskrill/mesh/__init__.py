"""Links between routers: fleet membership, replication of the store and gossip."""

from damaskrill.mesh._frames import (
    FeedUpdate,
    Gossip,
    Heartbeat,
    Hello,
    MemberEntry,
    decode,
    encode,
)
from damaskrill.mesh._members import MemberTable
from damaskrill.mesh._mesh import Mesh

__all__ = [
    "FeedUpdate",
    "Gossip",
    "Heartbeat",
    "Hello",
    "MemberEntry",
    "MemberTable",
    "Mesh",
    "decode",
    "encode",
]
