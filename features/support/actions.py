"""Fleet fixture and helpers for the tests of non-repeatable actions."""

from damaskrill.actions import record_key_of
from damaskrill.messages import OutcomeAsked, PermitRequested, RequestArrived
from damaskrill.utils import rank_by_rendezvous
from features.support.builders import build_request
from features.support.faults import build_fleet_members, build_fleet_text
from features.support.pump import Pump

READY_MS = 40_000
ACTION_DEADLINE_MS = 10_000


def start_fleet(seed):
    """Return five routers that have owned their keys long enough to accept new ones."""
    pump = Pump(
        text=build_fleet_text(), members=build_fleet_members(), random_state=seed
    )
    for router in pump.live_routers:
        pump.deliver(router, pump.configuration.read())
    pump.run_until(READY_MS)
    return pump


def router_at(pump, n):
    """Return the n-th router."""
    return pump.routers[f"10.0.0.{n}:7000"]


def ask_permit(pump, n):
    """Return a permit issued by the n-th router."""
    request_id = f"permit-{len(pump.permits)}"
    asked = PermitRequested(request_id=request_id, service="issuance", team="team-1")
    pump.deliver(router_at(pump, n), asked)
    return pump.permits[request_id]


def build_timed_key(now_ms, n=1):
    """Return an idempotency key that contains its creation time."""
    return f"t{now_ms}-{n}"


def build_action(pump, **fields):
    """Return a new request for an action."""
    return build_request(
        f"action-{len(pump.requests)}",
        service="issuance",
        repeatable=False,
        deadline_ms=pump.now_ms + ACTION_DEADLINE_MS,
        **fields,
    )


def send_action(pump, n, *, only_outcome=False, **fields):
    """Send an action to the n-th router; return the pump's record of the request."""
    request = build_action(pump, **fields)
    message_type = OutcomeAsked if only_outcome else RequestArrived
    pump.send_request(router_at(pump, n), message_type(request=request), request)
    return pump.requests[request.request_id]


def key_owner_number(pump, key, numbers=range(1, 6)):
    """Return the number of the router that owns a key."""
    record_key = record_key_of(build_action(pump, idempotency_key=key))
    by_address = {f"10.0.0.{n}:7000": n for n in numbers}
    return by_address[rank_by_rendezvous(record_key, by_address)[0]]


def n_runs(pump, identity):
    """Return how many times all servers together ran an action."""
    return sum(plain.runs[identity] for plain in pump.plain_services.values())
