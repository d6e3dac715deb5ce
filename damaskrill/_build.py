"""Identification of the build; the one-file build replaces this module's content."""

__all__ = ["BUILD"]

BUILD = "from source"
