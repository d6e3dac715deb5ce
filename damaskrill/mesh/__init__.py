"""Links between routers: fleet membership, replication of the store and gossip."""

from damaskrill.mesh._frames import (
    ASKS_FOR_SLOTS,
    ASSIGNS_SLOTS,
    NO_SLOTS,
    Departure,
    DirectHello,
    FeedRequest,
    FeedUpdate,
    Goodbye,
    Hello,
    MemberEntry,
    Suspicion,
    Update,
    decode,
    encode,
)
from damaskrill.mesh._members import MemberTable
from damaskrill.mesh._mesh import Mesh
from damaskrill.mesh._messages import (
    Message,
    StreamNotice,
    StreamQuery,
    StreamRecords,
    StreamReply,
)
from damaskrill.mesh._reader_role import ReaderRole
from damaskrill.mesh._reports import ReportExchange
from damaskrill.mesh._scheduler_choice import SchedulerChoice
from damaskrill.mesh._slot_messages import (
    MAX_BATCH,
    MAX_HELD,
    SlotBatch,
    SlotMessage,
    SlotsHeld,
)

__all__ = [
    "ASKS_FOR_SLOTS",
    "ASSIGNS_SLOTS",
    "MAX_BATCH",
    "MAX_HELD",
    "NO_SLOTS",
    "Departure",
    "DirectHello",
    "FeedRequest",
    "FeedUpdate",
    "Goodbye",
    "Hello",
    "MemberEntry",
    "MemberTable",
    "Mesh",
    "Message",
    "ReaderRole",
    "ReportExchange",
    "SchedulerChoice",
    "SlotBatch",
    "SlotMessage",
    "SlotsHeld",
    "StreamNotice",
    "StreamQuery",
    "StreamRecords",
    "StreamReply",
    "Suspicion",
    "Update",
    "decode",
    "encode",
]
