"""A router fleet between callers and backend servers for returning chats."""

__version__ = "0.1.0"

__all__ = ["__version__"]
