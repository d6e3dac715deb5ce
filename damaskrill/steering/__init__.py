"""Routing decisions for a request: server selection, retries and refusals."""

from damaskrill.steering._brittle_services import BrittleServices
from damaskrill.steering._cached_evidence import (
    CacheContent,
    CachedConclusion,
    CachedFinding,
    ServedServers,
    find_cached_origin,
    has_all_sources,
)
from damaskrill.steering._crash_cover import BlockedPart
from damaskrill.steering._crash_detector import NEW_LINK, BlockChanges, CrashDetector
from damaskrill.steering._crash_guard import CrashGuard, Rejection
from damaskrill.steering._crash_reports import (
    NO_REQUEST,
    CrashReport,
    ServedReport,
    SoundnessReport,
)
from damaskrill.steering._engine_choice import EngineChoice, EngineFigures
from damaskrill.steering._engine_room import EngineRoom, expected_output
from damaskrill.steering._expected_time import expected_time_ms
from damaskrill.steering._failure_detector import FailureDetector, FailureReport
from damaskrill.steering._failure_shares import FailureShares
from damaskrill.steering._fleet_health import FleetHealth
from damaskrill.steering._fleet_rate_limiter import FleetRateLimiter
from damaskrill.steering._fleet_size import FleetSize
from damaskrill.steering._gossip import GossipLog, short_id, short_server_id
from damaskrill.steering._health import HealthTracker, ServerOutcome
from damaskrill.steering._hot_keys import HotKeys, KeyCounts
from damaskrill.steering._incarnations import IncarnationProofs
from damaskrill.steering._latency import AnswerTimings, LatencyCause, find_latency_cause
from damaskrill.steering._load_bounds import (
    DIRECT_BOUNDS,
    MAX_DIRECT_ROUTERS,
    RELAYED_BOUNDS,
    LoadBounds,
)
from damaskrill.steering._loads import LoadReport, ServerLoads
from damaskrill.steering._metadata import (
    AnswerMetadata,
    Hop,
    PromptPart,
    RequestMetadata,
)
from damaskrill.steering._pauses import ServerPauses, spread_retry_after
from damaskrill.steering._prefix_index import PrefixIndex, PrefixReport
from damaskrill.steering._rate_limits import (
    RateLimit,
    cold_start_limit,
    stated_limit,
)
from damaskrill.steering._refusals import (
    NOT_RUN_STATUSES,
    LoggedOutcome,
    Refusal,
    RefusalCause,
)
from damaskrill.steering._regions import is_region_allowed
from damaskrill.steering._retry import (
    FULL_RETRY_DELAY_MS,
    ExecutionStatus,
    RetryState,
    may_retry,
    may_retry_full,
)
from damaskrill.steering._retry_budget import FleetRetryBudget
from damaskrill.steering._returning_servers import ReturningServers
from damaskrill.steering._selector import Candidate, ServerRequirements, ServerSelector
from damaskrill.steering._server_allowance import (
    UNKNOWN_SENDER_GRANT,
    ServerAllowance,
    ServerGrant,
)
from damaskrill.steering._server_load import ServerLoad
from damaskrill.steering._server_paces import ServerPaces
from damaskrill.steering._server_path import ServerPath
from damaskrill.steering._server_speeds import ServerSpeeds
from damaskrill.steering._silence import (
    caller_patience_ms,
    early_budget_fraction,
    silence_limit_ms,
)
from damaskrill.steering._stated_limits import LimitReport, StatedLimits
from damaskrill.steering._stream_origins import (
    UNLISTED_ORIGIN,
    OriginEvidence,
    StreamOrigins,
    choose_origin,
    find_origins,
    is_absence_confirmed,
)
from damaskrill.steering._uneven_choice import ServerEstimate, UnevenChoice
from damaskrill.steering._urgency import (
    EngineUrgency,
    PriorityRanks,
    effective_priority,
    map_urgency,
)

__all__ = [
    "DIRECT_BOUNDS",
    "FULL_RETRY_DELAY_MS",
    "MAX_DIRECT_ROUTERS",
    "NEW_LINK",
    "NOT_RUN_STATUSES",
    "NO_REQUEST",
    "RELAYED_BOUNDS",
    "UNKNOWN_SENDER_GRANT",
    "UNLISTED_ORIGIN",
    "AnswerMetadata",
    "AnswerTimings",
    "BlockChanges",
    "BlockedPart",
    "BrittleServices",
    "CacheContent",
    "CachedConclusion",
    "CachedFinding",
    "Candidate",
    "CrashDetector",
    "CrashGuard",
    "CrashReport",
    "EngineChoice",
    "EngineFigures",
    "EngineRoom",
    "EngineUrgency",
    "ExecutionStatus",
    "FailureDetector",
    "FailureReport",
    "FailureShares",
    "FleetHealth",
    "FleetRateLimiter",
    "FleetRetryBudget",
    "FleetSize",
    "GossipLog",
    "HealthTracker",
    "Hop",
    "HotKeys",
    "IncarnationProofs",
    "KeyCounts",
    "LatencyCause",
    "LimitReport",
    "LoadBounds",
    "LoadReport",
    "LoggedOutcome",
    "OriginEvidence",
    "PrefixIndex",
    "PrefixReport",
    "PriorityRanks",
    "PromptPart",
    "RateLimit",
    "Refusal",
    "RefusalCause",
    "Rejection",
    "RequestMetadata",
    "RetryState",
    "ReturningServers",
    "ServedReport",
    "ServedServers",
    "ServerAllowance",
    "ServerEstimate",
    "ServerGrant",
    "ServerLoad",
    "ServerLoads",
    "ServerOutcome",
    "ServerPaces",
    "ServerPath",
    "ServerPauses",
    "ServerRequirements",
    "ServerSelector",
    "ServerSpeeds",
    "SoundnessReport",
    "StatedLimits",
    "StreamOrigins",
    "UnevenChoice",
    "caller_patience_ms",
    "choose_origin",
    "cold_start_limit",
    "early_budget_fraction",
    "effective_priority",
    "expected_output",
    "expected_time_ms",
    "find_cached_origin",
    "find_latency_cause",
    "find_origins",
    "has_all_sources",
    "is_absence_confirmed",
    "is_region_allowed",
    "map_urgency",
    "may_retry",
    "may_retry_full",
    "short_id",
    "short_server_id",
    "silence_limit_ms",
    "spread_retry_after",
    "stated_limit",
]
