"""Plots of a report as self-contained SVG without scripts."""

import re
from datetime import UTC, datetime

import pygal
from pygal.style import Style

from damaskrill.report._model import BurnReport

__all__ = [
    "STYLE",
    "plot_budgets",
    "plot_causes",
    "plot_lost_share",
    "render_chart",
]

MS_PER_S = 1_000
MS_PER_DAY = 86_400_000
PERCENT = 100
PLOT_WIDTH = 960
PLOT_HEIGHT = 380
MAX_X_LABELS = 10
MAX_BARS = 12
COMMENT_PATTERN = re.compile(r"<!--.*?-->", re.DOTALL)
SCRIPT_PATTERN = re.compile(r"<script\b.*?(?:</script>|/>)", re.DOTALL)
STYLE = Style(
    background="transparent",
    plot_background="transparent",
    font_family="sans-serif",
    colors=("#1f5fa8", "#c0562a", "#3d7f4f", "#7a4fa0", "#8a7a1f", "#56616b"),
    label_font_size=12,
    major_label_font_size=12,
    legend_font_size=13,
    title_font_size=16,
    value_font_size=12,
)


def plot_lost_share(report: BurnReport) -> str:
    """Plot the share of lost requests by service over time."""
    starts = sorted({point.start_ms for point in report.series})
    chart = pygal.Line(
        **_options("Lost requests in % of all, over time"),
        x_label_rotation=0,
        show_minor_x_labels=False,
        range=(0, PERCENT),
        dots_size=2,
        truncate_label=-1,
    )
    is_one_day = bool(starts) and starts[-1] - starts[0] < MS_PER_DAY
    pattern = "%H:%M" if is_one_day else "%m-%d %H:%M"
    chart.x_labels = [_format_timestamp(each, pattern) for each in starts]
    step = max(1, -(-len(starts) // MAX_X_LABELS))
    chart.x_labels_major = chart.x_labels[::step]
    shares = {
        (point.service, point.start_ms): PERCENT * point.counts.lost_share
        for point in report.series
    }
    for service in sorted({point.service for point in report.series}):
        values = [shares.get((service, each)) for each in starts]
        chart.add(service, values)
    return render_chart(chart, "lost-share")


def plot_budgets(report: BurnReport) -> str:
    """Plot the remaining error budget by service."""
    chart = pygal.HorizontalBar(
        **_options("Budget left in %"), show_legend=False, print_values=True
    )
    chart.x_labels = [each.service for each in report.services]
    chart.value_formatter = lambda value: f"{value:.1f}"
    chart.add("budget", [PERCENT * each.budget_left for each in report.services])
    return render_chart(chart, "budgets")


def plot_causes(report: BurnReport) -> str:
    """Plot the number of lost requests by root cause."""
    chart = pygal.HorizontalBar(
        **_options("Lost requests by root cause"),
        show_legend=False,
        print_values=True,
        truncate_label=-1,
    )
    causes = list(reversed(report.causes[:MAX_BARS]))
    chart.x_labels = [f"{each.cause} ({each.service})" for each in causes]
    chart.value_formatter = lambda value: f"{value:.0f}"
    chart.add("lost", [each.n_lost for each in causes])
    return render_chart(chart, "causes")


def _options(title: str) -> dict[str, object]:
    return {
        "title": title,
        "style": STYLE,
        "width": PLOT_WIDTH,
        "height": PLOT_HEIGHT,
        "js": [],
        "disable_xml_declaration": True,
        "legend_at_bottom": True,
        "margin": 12,
    }


def render_chart(chart: pygal.Graph, name: str) -> str:
    """Render a chart as deterministic SVG without scripts.

    Parameters
    ----------
    chart : pygal.Graph
        Chart to render.
    name : str
        Identifier that replaces the random one of the chart, so that each rendering
        gives the same bytes. Must be unique within a page.

    Returns
    -------
    str
        An ``svg`` element.
    """
    content = chart.render(is_unicode=True).replace(chart.uuid, name)
    return COMMENT_PATTERN.sub("", SCRIPT_PATTERN.sub("", content))


def _format_timestamp(at_ms: int, pattern: str) -> str:
    return datetime.fromtimestamp(at_ms / MS_PER_S, tz=UTC).strftime(pattern)
