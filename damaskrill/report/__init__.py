"""Error budget burn by service and team, with root causes, computed from logs."""

from damaskrill.report._builder import OTHERS, ReportBuilder, build_report
from damaskrill.report._command import report_burn
from damaskrill.report._html import render_html
from damaskrill.report._json import render_json, report_to_map
from damaskrill.report._model import (
    BURN_WINDOWS,
    BurnReport,
    CauseLoss,
    GroupBurn,
    SeriesPoint,
    WindowBurn,
)
from damaskrill.report._objectives import Objectives, read_objectives
from damaskrill.report._plots import STYLE, render_chart
from damaskrill.report._text import render_text

__all__ = [
    "BURN_WINDOWS",
    "OTHERS",
    "STYLE",
    "BurnReport",
    "CauseLoss",
    "GroupBurn",
    "Objectives",
    "ReportBuilder",
    "SeriesPoint",
    "WindowBurn",
    "build_report",
    "read_objectives",
    "render_chart",
    "render_html",
    "render_json",
    "render_text",
    "report_burn",
    "report_to_map",
]
