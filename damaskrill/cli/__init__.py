"""The command line."""

from damaskrill.cli._main import main

__all__ = ["main"]
