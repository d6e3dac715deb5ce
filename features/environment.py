"""Hooks of behave; each scenario starts with an empty context."""
