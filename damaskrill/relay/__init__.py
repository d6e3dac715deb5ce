"""Transfer of request bodies and answer bytes, which bypass the kernel."""

from damaskrill.relay._answer_cache import AnswerCache, CachedAnswer
from damaskrill.relay._bodies import BodyStore
from damaskrill.relay._entry import AnswerSink, AnswerTotals, EntryRelay
from damaskrill.relay._outgoing import LocalStream, OutgoingStream, PeerStream

__all__ = [
    "AnswerCache",
    "AnswerSink",
    "AnswerTotals",
    "BodyStore",
    "CachedAnswer",
    "EntryRelay",
    "LocalStream",
    "OutgoingStream",
    "PeerStream",
]
