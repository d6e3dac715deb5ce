"""Rendering of a report as plain text."""

from collections.abc import Sequence
from datetime import UTC, datetime

from damaskrill.report._model import BurnReport, GroupBurn, WindowBurn

__all__ = ["format_percent", "format_time", "render_text"]

MS_PER_S = 1_000
MAX_TEAM_ROWS = 20
MAX_CAUSE_ROWS = 20


def render_text(report: BurnReport) -> str:
    """Render a report as plain text.

    Parameters
    ----------
    report : BurnReport
        Report to render.

    Returns
    -------
    str
        Lines of text.
    """
    n_ends = sum(report.outcomes.values())
    if not n_ends:
        lines = ["The logs contain no finished request."]
    else:
        lines = _render_summary(report)
        lines += ["", "By service", *_render_groups(report.services)]
        lines += ["", "By team, most lost requests first"]
        lines += _render_groups(report.teams[:MAX_TEAM_ROWS])
        lines += ["", "Lost requests by root cause", *_render_causes(report)]
    if report.damaged:
        lines += ["", f"Note: {report.damaged}."]
    return "\n".join(lines) + "\n"


def _render_summary(report: BurnReport) -> list[str]:
    outcomes = ", ".join(
        f"{count} {name.replace('_', ' ')}" for name, count in report.outcomes.items()
    )
    return [
        f"Service-level burn from {format_time(report.start_ms)} "
        f"to {format_time(report.end_ms)} (UTC)",
        f"{sum(report.outcomes.values())} requests: {outcomes}; "
        f"{report.n_callers_own} ended by their callers and not counted below",
    ]


def _render_groups(groups: Sequence[GroupBurn]) -> list[str]:
    rows: list[tuple[str, ...]] = [
        ("service", "team", "requests", "lost", "budget left", "fast", "slow", "state")
    ]
    for each in groups:
        rates = [_format_rates(window) for window in each.windows]
        row = (
            each.service,
            each.team or "all",
            str(each.counts.n_requests),
            str(each.counts.n_lost),
            format_percent(each.budget_left),
            *rates,
            each.state,
        )
        rows.append(row)
    return _align(rows)


def _render_causes(report: BurnReport) -> list[str]:
    if not report.causes:
        return ["  none"]
    rows = [("service", "lost", "share", "root cause")]
    rows += [
        (each.service, str(each.n_lost), format_percent(each.share), each.cause)
        for each in report.causes[:MAX_CAUSE_ROWS]
    ]
    return _align(rows)


def _align(rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    return ["  " + "  ".join(map(str.ljust, row, widths)).rstrip() for row in rows]


def _format_rates(burn: WindowBurn) -> str:
    return f"{burn.long_rate:.1f}/{burn.short_rate:.1f}"


def format_percent(share: float) -> str:
    """Format a fraction as a percentage."""
    return f"{100 * share:.1f} %"


def format_time(at_ms: int) -> str:
    """Format a time as date and time of day in UTC."""
    moment = datetime.fromtimestamp(at_ms / MS_PER_S, tz=UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")
