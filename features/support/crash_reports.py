"""Builders of crash detectors and of what they have seen."""

BAD = "bad"


def build_detector(router, *, first_number=1):
    """Return the crash detector of a router."""
    from damaskrill.steering import CrashDetector

    return CrashDetector(router=router, first_number=first_number)


def crash_under_bad_part(detector, *, at_ms):
    """Record crashes of different servers under the bad part."""
    from damaskrill.steering import short_id

    for number, now_ms in enumerate(at_ms):
        parts = (short_id(f"team-{number}"), short_id(BAD))
        detector.record_crash((f"e-{number}", 0), parts, float(now_ms))


def is_blocking(detector, now_ms):
    """Return whether a detector blocks the bad part."""
    from damaskrill.steering import short_id

    return bool(detector.find_blocked([short_id(BAD)], now_ms))
