"""Rendering of a report as a self-contained HTML page."""

from collections.abc import Sequence
from html import escape

from damaskrill.report._model import BurnReport, GroupBurn, WindowBurn
from damaskrill.report._plots import plot_budgets, plot_causes, plot_lost_share
from damaskrill.report._text import format_percent, format_time

__all__ = ["render_html"]

MAX_TEAM_ROWS = 50
MAX_CAUSE_ROWS = 50
STYLE_SHEET = """
body { font: 15px/1.45 sans-serif; color: #1c2126; margin: 2rem auto;
  max-width: 1000px; padding: 0 1rem; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2rem; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .3rem .6rem; border-bottom: 1px solid #d5dade; }
td.number, th.number { text-align: right; font-variant-numeric: tabular-nums; }
td.alert { color: #a3241c; font-weight: bold; }
.note { background: #fff4d6; padding: .5rem .8rem; }
figure { margin: 1rem 0; } figure svg { width: 100%; height: auto; }
"""


def render_html(report: BurnReport) -> str:
    """Render a report as an HTML page.

    Parameters
    ----------
    report : BurnReport
        Report to render.

    Returns
    -------
    str
        Page with inline plots that loads no other resource.
    """
    parts = [
        "<!DOCTYPE html>",
        '<html lang="en"><head><meta charset="utf-8">',
        "<title>Service-level burn</title>",
        f"<style>{STYLE_SHEET}</style></head><body>",
        "<h1>Service-level burn</h1>",
        _render_summary(report),
    ]
    if report.damaged:
        parts.append(f'<p class="note">{escape(report.damaged)}.</p>')
    if report.services:
        parts += _render_body(report)
    parts.append("</body></html>\n")
    return "\n".join(parts)


def _render_summary(report: BurnReport) -> str:
    n_ends = sum(report.outcomes.values())
    if not n_ends:
        return "<p>The logs contain no finished request.</p>"
    outcomes = ", ".join(
        f"{count} {escape(name.replace('_', ' '))}"
        for name, count in report.outcomes.items()
    )
    return (
        f"<p>From {format_time(report.start_ms)} to {format_time(report.end_ms)} "
        f"(UTC): {n_ends} requests, {outcomes}. {report.n_callers_own} were ended by "
        "their callers and are not counted below.</p>"
        "<p>A request is lost if it was not completed or did not meet the latency "
        "objectives of the operators' text. A burn rate of 1 spends exactly the error "
        "budget; an alert requires both windows of a pair to reach their "
        "threshold.</p>"
    )


def _render_body(report: BurnReport) -> list[str]:
    parts = ["<h2>By service</h2>", _render_groups(report.services)]
    parts += [f"<figure>{plot_budgets(report)}</figure>"]
    parts += [f"<figure>{plot_lost_share(report)}</figure>"]
    parts += ["<h2>Lost requests by root cause</h2>"]
    if report.causes:
        parts += [f"<figure>{plot_causes(report)}</figure>", _render_causes(report)]
    else:
        parts += ["<p>No request was lost.</p>"]
    parts += ["<h2>By team, most lost requests first</h2>"]
    parts += [_render_groups(report.teams[:MAX_TEAM_ROWS])]
    return parts


def _render_groups(groups: Sequence[GroupBurn]) -> str:
    header = (
        "<tr><th>service</th><th>team</th>"
        '<th class="number">requests</th><th class="number">lost</th>'
        '<th class="number">budget left</th>'
        '<th class="number">fast burn (1 h / 5 min)</th>'
        '<th class="number">slow burn (6 h / 30 min)</th><th>state</th></tr>'
    )
    return f"<table>{header}{''.join(_render_group(each) for each in groups)}</table>"


def _render_group(group: GroupBurn) -> str:
    rates = "".join(_number_cell(_format_rates(each)) for each in group.windows)
    state_class = "" if group.state == "in budget" else ' class="alert"'
    return (
        f"<tr><td>{escape(group.service)}</td><td>{escape(group.team or 'all')}</td>"
        f"{_number_cell(str(group.counts.n_requests))}"
        f"{_number_cell(str(group.counts.n_lost))}"
        f"{_number_cell(format_percent(group.budget_left))}{rates}"
        f"<td{state_class}>{group.state}</td></tr>"
    )


def _render_causes(report: BurnReport) -> str:
    rows = "".join(
        f"<tr><td>{escape(each.service)}</td><td>{escape(each.cause)}</td>"
        f"{_number_cell(str(each.n_lost))}{_number_cell(format_percent(each.share))}"
        "</tr>"
        for each in report.causes[:MAX_CAUSE_ROWS]
    )
    header = (
        "<tr><th>service</th><th>root cause</th>"
        '<th class="number">lost</th><th class="number">share</th></tr>'
    )
    return f"<table>{header}{rows}</table>"


def _number_cell(text: str) -> str:
    return f'<td class="number">{escape(text)}</td>'


def _format_rates(burn: WindowBurn) -> str:
    return f"{burn.long_rate:.1f} / {burn.short_rate:.1f}"
