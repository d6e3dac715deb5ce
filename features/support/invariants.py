"""Invariants of the fleet, checked against the records of the fakes.

Each check yields or returns one sentence per violation.
"""

import math

from damaskrill.messages import Completed, NotRun
from features.support.pump import expected_digest

ANSWER_SLACK_MS = 1_500
PROPAGATION_MS = 7_000
DATA_CENTRE_OUT_MS = 3_000
STOP_BOUND_MS = 30_000
LOAD_WINDOW_MS = 3_000
MIN_COMPLETED_FRACTION = 0.5


def all_violations(pump, *, excused=frozenset()):
    """Return the violations of all invariants.

    Parameters
    ----------
    pump : Pump
        The fleet after its run.
    excused : frozenset of str
        Names of the injected faults that delay the propagation of texts.
    """
    checks = (
        one_answer_each,
        complete_answers,
        refusals_not_executed,
        at_most_once,
        no_crash,
        texts_never_revert,
        texts_active_everywhere,
        graceful_stops,
        serves_most,
    )
    violations = [violation for check in checks for violation in check(pump)]
    violations += no_overload(pump, excused)
    return violations + no_dispatch_to_leaving(pump, excused)


def serves_most(pump):
    """Most requests complete; otherwise a fleet that refuses all would pass."""
    n_completed = sum(
        isinstance(each, Completed)
        for sent in pump.requests.values()
        for each in sent.outcomes
    )
    if n_completed < len(pump.requests) * MIN_COMPLETED_FRACTION:
        yield f"only {n_completed} of {len(pump.requests)} requests completed"


def one_answer_each(pump):
    """Every caller of a live router gets exactly one outcome, in time."""
    for sent in pump.requests.values():
        request = sent.request
        if len(sent.outcomes) > 1:
            yield f"{request.request_id} got {len(sent.outcomes)} outcomes"
        if sent.outcomes or not sent.router.alive:
            continue
        late_ms = pump.now_ms - request.deadline_ms
        if late_ms > ANSWER_SLACK_MS and sent.router.paused_until_ms == 0:
            yield f"{request.request_id} got no outcome {late_ms} ms after its deadline"


def complete_answers(pump):
    """A completed request has its own, complete answer."""
    for sent in pump.requests.values():
        for outcome in sent.outcomes:
            expected = expected_digest(sent.request)
            if isinstance(outcome, Completed) and outcome.digest != expected:
                yield f"{sent.request.request_id} got {outcome.digest}"


def refusals_not_executed(pump):
    """A request that was refused as not run is never run."""
    started = {}
    for dispatch in pump.dispatches:
        request_id = dispatch.attempt.request.request_id
        started.setdefault(request_id, dispatch.at_ms)
    for sent in pump.requests.values():
        request_id = sent.request.request_id
        refused = any(isinstance(each, NotRun) for each in sent.outcomes)
        if refused and request_id in started and not _all_refused(pump, request_id):
            yield f"{request_id} was refused as not run, but was dispatched"


def _all_refused(pump, request_id):
    """Return whether the server refused every dispatch of a request."""
    for dispatch in pump.dispatches:
        request = dispatch.attempt.request
        if request.request_id == request_id:
            plain = pump.plain_services.get(dispatch.attempt.backend_server)
            key = request.idempotency_key or request.permit
            if plain is None or plain.runs[key]:
                return False
    return True


def at_most_once(pump):
    """No key or permit is run twice over all servers of the service."""
    runs = {}
    for plain in pump.plain_services.values():
        for key, n_runs in plain.runs.items():
            runs[key] = runs.get(key, 0) + n_runs
    for key, n_runs in runs.items():
        if n_runs > 1:
            yield f"{key} was run {n_runs} times"


def no_overload(pump, excused=frozenset()):
    """No admission raises a server above the configured multiple of the mean load.

    The mean is taken over the servers that may receive new requests. Each counts with
    its highest load of the last ``LOAD_WINDOW_MS``, since reports may be 2 s old and
    be delayed by up to 1 s. If a new text cannot reach every router in time, an earlier
    text may still determine which servers these are.
    """
    since_ms = -LOAD_WINDOW_MS if excused else None
    for name, history in pump.loads.items():
        previous = 0
        for at_ms, load in history:
            if load > previous:
                bound = _load_bound(pump, name, at_ms, since_ms)
                if load > bound:
                    yield f"{name} had load {load} over {bound:g} at {at_ms} ms"
            previous = load


def _load_bound(pump, name, at_ms, since_ms):
    bounds = []
    start_ms = at_ms - LOAD_WINDOW_MS if since_ms is None else since_ms
    for text in _texts_between(pump, start_ms, at_ms):
        server = text.backend_servers[name]
        limits = text.limits
        eligible = _servers_in_service(text, server.service)
        mean = _highest_mean(pump, eligible, at_ms) if eligible else 0
        shared = math.ceil(limits.load_multiple_percent * mean / 100)
        bounds.append(min(server.bearable_load, max(limits.load_floor, shared)))
    return max(bounds)


def _texts_between(pump, start_ms, end_ms):
    latest = [_active_text(pump, start_ms)]
    later = [text for at_ms, text in pump.published if start_ms < at_ms <= end_ms]
    return [text for text in latest + later if text is not None]


def _servers_in_service(text, service):
    return [
        each.name
        for each in text.backend_servers.values()
        if each.service == service
        and not each.leaving
        and text.data_centres[each.data_centre].in_service
    ]


def _highest_mean(pump, names, at_ms):
    """Return the mean of the highest recent loads of the servers.

    The servers report at different times, so that an owner may combine loads that no
    instant had together.
    """
    start_ms = at_ms - LOAD_WINDOW_MS
    highest = [_highest_load(pump, name, start_ms, at_ms) for name in names]
    return sum(highest) / len(names)


def _highest_load(pump, name, start_ms, end_ms):
    history = pump.loads.get(name, ())
    recent = [load for at_ms, load in history if start_ms <= at_ms <= end_ms]
    return max([_load_at(pump, name, start_ms), *recent])


def _load_at(pump, name, at_ms):
    load = 0
    for each_ms, each in pump.loads.get(name, ()):
        if each_ms > at_ms:
            break
        load = each
    return load


def no_crash(pump):
    """No server receives more than its capacity, cold or warm."""
    for engine in pump.engines.values():
        if engine.n_crashes:
            yield f"{engine.name} crashed {engine.n_crashes} times"


def texts_never_revert(pump):
    """No process applies an older text than its current one."""
    for router in [*pump.routers.values(), *pump.former_routers]:
        if router.versions != sorted(router.versions):
            yield f"{router.member.member_id} had versions {router.versions}"


def texts_active_everywhere(pump):
    """After all faults have ended, the last text is active on every router."""
    published_ms = pump.published[-1][0]
    if pump.now_ms - published_ms < PROPAGATION_MS:
        return
    for router in pump.live_routers:
        version = router.view.text.version
        if version != pump.configuration.latest_version:
            yield f"{router.member.member_id} is still on version {version}"


def graceful_stops(pump):
    """A process that is asked to stop finishes its requests and then stops."""
    for router in [*pump.routers.values(), *pump.former_routers]:
        stop_ms = router.stop_requested_at_ms
        if stop_ms < 0 or not router.alive:
            continue
        if not router.has_stopped and pump.now_ms - stop_ms > STOP_BOUND_MS:
            yield f"{router.member.member_id} has not stopped"
        for sent in pump.requests.values():
            is_unanswered = sent.router is router and not sent.outcomes
            if router.has_stopped and is_unanswered and sent.sent_at_ms < stop_ms:
                yield f"{sent.request.request_id} was left open by a graceful stop"


def no_dispatch_to_leaving(pump, excused=frozenset()):
    """3 s after a text is published, no attempt goes to a server that it takes out."""
    violations = []
    for dispatch in pump.dispatches:
        text = _active_text(pump, dispatch.at_ms - DATA_CENTRE_OUT_MS)
        if text is None or text is not _active_text(pump, dispatch.at_ms):
            continue
        server = text.backend_servers.get(dispatch.attempt.backend_server)
        if server is None:
            continue
        centre = text.data_centres.get(server.data_centre)
        is_out = server.leaving or (centre is not None and not centre.in_service)
        has_text = dispatch.text_version >= text.version
        if is_out and (has_text or not excused):
            violations.append(
                f"{server.name} got {dispatch.attempt.attempt_id} at "
                f"{dispatch.at_ms} ms though text {text.version} takes it out"
            )
    return violations


def _active_text(pump, at_ms):
    active = None
    for published_ms, text in pump.published:
        if published_ms <= at_ms:
            active = text
    return active
