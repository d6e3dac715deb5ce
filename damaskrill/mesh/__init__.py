"""Links between routers: who is alive, and what the store has published."""

from damaskrill.mesh._frames import (
    Beat,
    Feed,
    Hello,
    MemberEntry,
    News,
    decode,
    encode,
)
from damaskrill.mesh._members import MemberTable
from damaskrill.mesh._mesh import Mesh

__all__ = [
    "Beat",
    "Feed",
    "Hello",
    "MemberEntry",
    "MemberTable",
    "Mesh",
    "News",
    "decode",
    "encode",
]
