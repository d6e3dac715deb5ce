"""Counter of calls, for bounds on work that do not depend on the machine."""

import sys

__all__ = ["CallCounter"]


class CallCounter:
    """Count calls of Python functions while it is entered."""

    def __init__(self):
        self.n_calls = 0

    def __enter__(self):
        sys.setprofile(self._count)
        return self

    def __exit__(self, *exception):
        sys.setprofile(None)

    def _count(self, _frame, event, _argument):
        self.n_calls += event == "call"
