"""Seeded benchmarks.

Each ``bench_*`` module defines ``measure(seed)``, which yields ``Measurement`` objects.
"""
