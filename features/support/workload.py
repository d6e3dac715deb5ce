"""Workload of the fault matrix: returning chats and non-repeatable actions."""

from attrs import define, field

from damaskrill.messages import PermitRequested, RequestArrived
from damaskrill.utils import check_random_state
from features.support.builders import build_request

CHAT_INTERVAL_MS = 120
ACTION_INTERVAL_MS = 600
MAX_RETRY_DELAY_MS = 3_000
PERMIT_WAIT_MS = 400
CHAT_DEADLINE_MS = 20_000
ACTION_DEADLINE_MS = 10_000
N_CHATS = 40
N_DOSSIERS = 6
BLOCKS_PER_DOSSIER = 20
BLOCK_TOKENS = 64


@define(kw_only=True, slots=False)
class Workload:
    """Callers that send requests through random live routers.

    Parameters
    ----------
    pump : Pump
        The fleet.
    random_state : int
        Seed.
    end_ms : int
        Time after which no new requests start; retries may follow.
    """

    pump: object
    random_state: int
    end_ms: int
    n_sent: int = field(default=0, init=False)

    def __attrs_post_init__(self):
        self._random = check_random_state(self.random_state)
        self.surging_team = ""
        self.surge_until_ms = 0

    def start(self, *, start_ms):
        """Schedule the first requests."""
        self.pump.at(start_ms, self._next_chat)
        self.pump.at(start_ms, self._next_action)

    def surge(self, team, duration_ms):
        """Add chats of one team for a time, at four times the normal rate of all."""
        self.surging_team = team
        self.surge_until_ms = self.pump.now_ms + duration_ms
        self._next_surge_chat()

    def _next_surge_chat(self):
        if self.pump.now_ms < self.surge_until_ms:
            self._send_chat(self.surging_team)
            self.pump.after(CHAT_INTERVAL_MS // 4, self._next_surge_chat)

    def _next_chat(self):
        if self.pump.now_ms >= self.end_ms:
            return
        self._send_chat(f"team-{self._random.randrange(10)}")
        self.pump.after(self._random.randint(1, 2 * CHAT_INTERVAL_MS), self._next_chat)

    def _send_chat(self, team):
        chat = self._random.randrange(N_CHATS)
        dossier = chat % N_DOSSIERS
        first_block = dossier * 1_000
        blocks = tuple(range(first_block, first_block + BLOCKS_PER_DOSSIER))
        request = self._build(
            service="dossier-review",
            team=team,
            chat=f"chat-{chat}",
            dossier=f"dossier-{dossier}",
            prefix_blocks=(*blocks, 100_000 + chat),
            n_prompt_tokens=(BLOCKS_PER_DOSSIER + 1) * BLOCK_TOKENS,
            deadline_ms=self.pump.now_ms + CHAT_DEADLINE_MS,
        )
        self._send(request)

    def _next_action(self):
        if self.pump.now_ms >= self.end_ms:
            return
        if self._random.random() < 0.5:
            self._start_keyed_action()
        else:
            self._start_permitted_action()
        self.pump.after(ACTION_INTERVAL_MS, self._next_action)

    def _start_keyed_action(self):
        key = f"t{self.pump.now_ms}-{self.random_state}-{self.n_sent}"
        self._send_action_repeatedly(idempotency_key=key)

    def _start_permitted_action(self):
        self.n_sent += 1
        permit_request_id = f"permit-request-{self.n_sent}"
        message = PermitRequested(
            request_id=permit_request_id, service="issuance", team="team-1"
        )
        self.pump.deliver(self._pick_router(), message)
        self.pump.after(PERMIT_WAIT_MS, lambda: self._use_permit(permit_request_id))

    def _use_permit(self, permit_request_id):
        permit = self.pump.permits.get(permit_request_id, "")
        if permit:
            self._send_action_repeatedly(permit=permit)

    def _send_action_repeatedly(self, **identity):
        self._send_action(**identity)
        if self._random.random() < 0.3:
            self._send_action(**identity)
        if self._random.random() < 0.4:
            delay_ms = self._random.randint(1, MAX_RETRY_DELAY_MS)
            self.pump.after(delay_ms, lambda: self._send_action(**identity))

    def _send_action(self, **identity):
        request = self._build(
            service="issuance",
            team="team-1",
            repeatable=False,
            deadline_ms=self.pump.now_ms + ACTION_DEADLINE_MS,
            **identity,
        )
        self._send(request)

    def _build(self, **fields):
        self.n_sent += 1
        return build_request(f"{self.random_state}-{self.n_sent}", **fields)

    def _pick_router(self):
        ready = [
            each for each in self.pump.live_routers if each.stop_requested_at_ms < 0
        ]
        return self._random.choice(ready)

    def _send(self, request):
        router = self._pick_router()
        self.pump.send_request(router, RequestArrived(request=request), request)
