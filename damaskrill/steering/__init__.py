"""Decisions on one request: which server, how often, and what it is refused for."""

from damaskrill.steering._again import (
    FULL_PAUSE_MS,
    EndOfAttempt,
    Outcome,
    may_send_again,
    may_wait,
)
from damaskrill.steering._cache_sources import CacheSources, PrefixNews
from damaskrill.steering._cold_gate import ColdGate
from damaskrill.steering._facts import AnswerFacts, PromptPart, RequestFacts
from damaskrill.steering._failure_board import FailureBoard, FailureNews
from damaskrill.steering._fleet_health import FleetHealth
from damaskrill.steering._health import HealthTracker, Verdict
from damaskrill.steering._hot_keys import HotKeys, KeyCounts
from damaskrill.steering._lateness import AnswerTimes, LateCause, find_late_cause
from damaskrill.steering._load_bounds import FIRST_HAND, HEARSAY, LoadBounds
from damaskrill.steering._loads import LoadNews, ServerLoads
from damaskrill.steering._news import short_server_id
from damaskrill.steering._placer import Candidate, Placer, ServerWish
from damaskrill.steering._refusals import LoggedOutcome, Refusal, RefusalCause
from damaskrill.steering._regions import may_go
from damaskrill.steering._repeat_budget import RepeatBudget

__all__ = [
    "FIRST_HAND",
    "FULL_PAUSE_MS",
    "HEARSAY",
    "AnswerFacts",
    "AnswerTimes",
    "CacheSources",
    "Candidate",
    "ColdGate",
    "EndOfAttempt",
    "FailureBoard",
    "FailureNews",
    "FleetHealth",
    "HealthTracker",
    "HotKeys",
    "KeyCounts",
    "LateCause",
    "LoadBounds",
    "LoadNews",
    "LoggedOutcome",
    "Outcome",
    "Placer",
    "PrefixNews",
    "PromptPart",
    "Refusal",
    "RefusalCause",
    "RepeatBudget",
    "RequestFacts",
    "ServerLoads",
    "ServerWish",
    "Verdict",
    "find_late_cause",
    "may_go",
    "may_send_again",
    "may_wait",
    "short_server_id",
]
