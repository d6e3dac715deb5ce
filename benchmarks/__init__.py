"""Seeded measures; each module has ``measure(seed)`` that yields ``Measurement``s."""
