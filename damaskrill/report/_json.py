"""Rendering of a report as a JSON object."""

import json
import math
from typing import Any

from damaskrill.report._model import BurnReport, GroupBurn

__all__ = ["render_json", "report_to_map"]


def render_json(report: BurnReport) -> str:
    """Render a report as one JSON object, followed by a line feed."""
    return json.dumps(report_to_map(report), indent=2) + "\n"


def report_to_map(report: BurnReport) -> dict[str, Any]:
    """Convert a report to a dictionary that can be serialized as JSON.

    Parameters
    ----------
    report : BurnReport
        Report to convert.

    Returns
    -------
    dict
        Content of the report; an infinite burn rate becomes None.
    """
    return {
        "start_ms": report.start_ms,
        "end_ms": report.end_ms,
        "outcomes": report.outcomes,
        "n_callers_own": report.n_callers_own,
        "n_lines": report.n_lines,
        "n_damaged": report.n_damaged,
        "damaged": report.damaged,
        "services": [_group_to_map(each) for each in report.services],
        "teams": [_group_to_map(each) for each in report.teams],
        "causes": [
            {
                "service": each.service,
                "cause": each.cause,
                "n_lost": each.n_lost,
                "share": each.share,
            }
            for each in report.causes
        ],
        "interval_ms": report.interval_ms,
        "series": [
            {
                "service": each.service,
                "start_ms": each.start_ms,
                "n_requests": each.counts.n_requests,
                "n_lost": each.counts.n_lost,
            }
            for each in report.series
        ],
    }


def _group_to_map(group: GroupBurn) -> dict[str, Any]:
    return {
        "service": group.service,
        "team": group.team,
        "n_requests": group.counts.n_requests,
        "n_lost": group.counts.n_lost,
        "allowed_share": group.allowed_share,
        "budget_left": group.budget_left,
        "state": group.state,
        "windows": [
            {
                "name": each.window.name,
                "long_minutes": each.window.long_minutes,
                "short_minutes": each.window.short_minutes,
                "threshold": each.window.threshold,
                "long_rate": _finite_or_none(each.long_rate),
                "short_rate": _finite_or_none(each.short_rate),
                "is_alert": each.is_alert,
            }
            for each in group.windows
        ],
    }


def _finite_or_none(value: float) -> float | None:
    return value if math.isfinite(value) else None
