"""Recording of kernel inputs, and replay against expected outcomes."""

from damaskrill.traces._command import replay_files
from damaskrill.traces._errors import (
    TraceError,
    TraceExpectationError,
    TraceHeaderError,
    TraceMessageError,
    TraceNotJsonError,
    TraceOrderError,
    TraceRouterError,
    TraceVersionError,
    UnreadableTraceError,
)
from damaskrill.traces._expectations import (
    EXPECTATION_TYPES,
    Expectation,
    ExpectedAnswerCount,
    ExpectedCause,
    ExpectedDispatchCount,
    ExpectedLoadAtMost,
    ExpectedNoDispatchTo,
    ExpectedOutcome,
    ExpectedSameServer,
    ExpectedTextVersion,
    expectation_from_map,
    expectation_to_map,
)
from damaskrill.traces._format import (
    TraceHeader,
    TraceInput,
    TraceRouter,
    dump_line,
    header_to_map,
)
from damaskrill.traces._reader import TraceReader, open_trace
from damaskrill.traces._recorder import TraceRecorder, TraceSink
from damaskrill.traces._replay import Difference, ReplayResult, replay_trace
from damaskrill.traces._sinks import RotatingFileSink, StreamSink

__all__ = [
    "EXPECTATION_TYPES",
    "Difference",
    "Expectation",
    "ExpectedAnswerCount",
    "ExpectedCause",
    "ExpectedDispatchCount",
    "ExpectedLoadAtMost",
    "ExpectedNoDispatchTo",
    "ExpectedOutcome",
    "ExpectedSameServer",
    "ExpectedTextVersion",
    "ReplayResult",
    "RotatingFileSink",
    "StreamSink",
    "TraceError",
    "TraceExpectationError",
    "TraceHeader",
    "TraceHeaderError",
    "TraceInput",
    "TraceMessageError",
    "TraceNotJsonError",
    "TraceOrderError",
    "TraceReader",
    "TraceRecorder",
    "TraceRouter",
    "TraceRouterError",
    "TraceSink",
    "TraceVersionError",
    "UnreadableTraceError",
    "dump_line",
    "expectation_from_map",
    "expectation_to_map",
    "header_to_map",
    "open_trace",
    "replay_files",
    "replay_trace",
]
