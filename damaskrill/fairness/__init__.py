"""Scheduling by priority and max-min fair shares between teams."""

from damaskrill.fairness._fair_queue import FairQueue, QueuedAttempt
from damaskrill.fairness._team_shares import TeamShares

__all__ = ["FairQueue", "QueuedAttempt", "TeamShares"]
