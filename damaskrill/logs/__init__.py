"""Parsing of the log files that routers write."""

from damaskrill.logs._line import LoggedCause, LogLine, line_from_map
from damaskrill.logs._reader import DamagedLines, LogReader

__all__ = ["DamagedLines", "LogLine", "LogReader", "LoggedCause", "line_from_map"]
