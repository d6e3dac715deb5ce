"""Scenario of the demonstration, with checks of each step."""

import asyncio
import io
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, TextIO

from damaskrill.demo._client import Reply, call_router
from damaskrill.demo._fleet import ACTION_SERVICE, CHAT_SERVICE, LoopbackFleet
from damaskrill.explain import explain_request
from damaskrill.fakes import build_chat_answer
from damaskrill.monitoring import configure_logging
from damaskrill.runtime import run_in_reactor

__all__ = ["run_demo"]

DATA_CENTRES = ("bole", "kirkos")
DOSSIER = "The applicant asks for channel 7 at the site on the hill. " * 60
CHAT_PATH = "/v1/chat/completions"
ACTION_PATH = f"/v1/services/{ACTION_SERVICE}"
BREAK_AFTER_BYTES = 600
DEMO_TIMEOUT_S = 50
EXIT_SUCCESS = 0
EXIT_UNEXPECTED = 1


class Demo:
    """Scenario of requests to a small fleet, with checks of the answers.

    Parameters
    ----------
    fleet : LoopbackFleet
        Running fleet.
    log_path : str
        File to which the routers write their log.
    output : text stream
        Stream to print to.
    """

    def __init__(self, *, fleet: LoopbackFleet, log_path: str, output: TextIO) -> None:
        self._fleet = fleet
        self._log_path = log_path
        self._output = output
        self._n_failed_checks = 0

    @property
    def n_failed_checks(self) -> int:
        """Number of failed checks."""
        return self._n_failed_checks

    async def run(self) -> None:
        """Run all steps of the scenario."""
        await self._show_chat()
        await self._show_returning_chat()
        await self._show_broken_stream()
        await self._show_action()
        await self._show_configuration_change()
        await self._show_refusal()

    async def _show_chat(self) -> None:
        self._print("1. A streamed chat through router 1")
        reply = await self._send_chat(0, chat="chat-1", turns=1)
        self._print_reply(reply)

    async def _show_returning_chat(self) -> None:
        self._print("2. The same chat continues through router 3")
        cached_before = self._n_cached_tokens
        reply = await self._send_chat(2, chat="chat-1", turns=2)
        self._print_reply(reply)
        n_cached = self._n_cached_tokens - cached_before
        self._print(f"   The engine still had {n_cached} tokens of its prompt cached.")
        self._check(n_cached > 0, "the chat reached the engine that has it cached")

    async def _show_broken_stream(self) -> None:
        self._print("3. Engines close the stream half-way, one after the other")
        for engine in self._fleet.engines:
            engine.abort_next_after_bytes = BREAK_AFTER_BYTES
        reply = await self._send_chat(1, chat="chat-2", turns=1)
        for engine in self._fleet.engines:
            engine.abort_next_after_bytes = 0
        self._print_reply(reply)
        n_resumed = sum(engine.n_resumed for engine in self._fleet.engines)
        self._check(n_resumed > 0, "the stream was resumed at its offset")

    async def _show_action(self) -> None:
        self._print("4. A licence issuance, which may not be repeated, is sent twice")
        permit_reply = await call_router(
            self._fleet.ports[0], "/v1/permits", {"service": ACTION_SERVICE}
        )
        permit = json.loads(permit_reply.content)["permit"]
        headers = {"Damaskrill-Permit": permit}
        replies = [
            await call_router(port, ACTION_PATH, {"channel": 7}, headers=headers)
            for port in self._fleet.ports[1:3]
        ]
        for reply in replies:
            self._print_reply(reply)
        runs = self._fleet.action_server.service.runs
        self._print(f"   The licensing server has run it {sum(runs.values())} time(s).")
        self._check(sum(runs.values()) == 1, "the action ran once")
        contents = {reply.content for reply in replies}
        self._check(len(contents) == 1, "both callers received the same answer")

    async def _show_configuration_change(self) -> None:
        self._print("5. The operators take data centre 'kirkos' out of service")
        self._fleet.data_centres_out.add("kirkos")
        await self._publish()
        started_before = self._n_started_in("kirkos")
        for n in range(6):
            reply = await self._send_chat(n % 3, chat=f"chat-{n + 10}", turns=1)
        self._print_reply(reply)
        n_new = self._n_started_in("kirkos") - started_before
        self._print(f"   Engines in 'kirkos' received {n_new} of 6 new chats.")
        self._check(n_new == 0, "the data centre receives no new work")
        self._print("   and put it back in service.")
        self._fleet.data_centres_out.clear()
        await self._publish()

    async def _show_refusal(self) -> None:
        self._print("6. The operators take all data centres out of service")
        self._fleet.data_centres_out.update(DATA_CENTRES)
        await self._publish()
        reply = await self._send_chat(0, chat="chat-3", turns=1, is_refused=True)
        self._print_reply(reply)
        self._check(reply.outcome_name == "not_run", "the refusal says 'not run'")

    async def _publish(self) -> None:
        started = time.monotonic()
        version = self._fleet.publish_text()
        await self._fleet.wait_until_ready()
        duration_ms = (time.monotonic() - started) * 1_000
        self._print(
            f"   Text version {version} was active on all routers after "
            f"{duration_ms:.0f} ms."
        )

    async def _send_chat(
        self, router_index: int, *, chat: str, turns: int, is_refused: bool = False
    ) -> Reply:
        messages = [{"role": "user", "content": f"{chat}: {DOSSIER}"}]
        for n in range(1, turns):
            messages.append({"role": "assistant", "content": "It is free."})
            messages.append({"role": "user", "content": f"And at site {n}?"})
        content = {"model": CHAT_SERVICE, "messages": messages, "stream": True}
        headers = {"Damaskrill-Chat": chat, "Damaskrill-Team": "officers"}
        port = self._fleet.ports[router_index]
        reply = await call_router(port, CHAT_PATH, content, headers=headers)
        if not is_refused:
            self._check_answer(content, reply)
        return reply

    def _check_answer(self, content: dict[str, Any], reply: Reply) -> None:
        body = json.dumps(content).encode()
        expected = b"".join(build_chat_answer(body, reply.request_id))
        self._check(reply.content == expected, "the answer is complete, byte for byte")

    @property
    def _n_cached_tokens(self) -> int:
        return sum(each.engine.n_cached_tokens for each in self._fleet.engines)

    def _n_started_in(self, data_centre: str) -> int:
        return sum(
            fake.engine.n_started
            for n, fake in enumerate(self._fleet.engines)
            if self._fleet.data_centre_of(n) == data_centre
        )

    def _print_reply(self, reply: Reply) -> None:
        self._print(f"   {reply.sentence}")
        explanation = io.StringIO()
        explain_request(reply.request_id, [self._log_path], output=explanation)
        for line in explanation.getvalue().splitlines():
            self._print(f"      | {line}")

    def _check(self, is_met: bool, description: str) -> None:
        if not is_met:
            self._n_failed_checks += 1
            self._print(f"   CHECK FAILED: {description}")

    def _print(self, text: str) -> None:
        print(text, file=self._output, flush=True)


def run_demo(*, output: TextIO | None = None) -> int:
    """Run the demonstration.

    Parameters
    ----------
    output : text stream, default=None
        Stream to print to; standard output if None.

    Returns
    -------
    int
        Exit status: 0 if all checks passed, 1 if not.
    """
    stream = sys.stdout if output is None else output
    with tempfile.TemporaryDirectory() as folder:
        log_path = str(Path(folder) / "demo.log")
        with open(log_path, "w", encoding="utf-8") as log_stream:
            configure_logging(stream=log_stream)
            return run_in_reactor(_run(log_path, stream))


async def _run(log_path: str, output: TextIO) -> int:
    from twisted.internet import reactor

    fleet = LoopbackFleet(
        reactor=reactor, n_routers=3, n_engines=4, data_centres=DATA_CENTRES
    )
    print("Three routers start on loopback with fake backend servers.", file=output)
    try:
        async with asyncio.timeout(DEMO_TIMEOUT_S):
            await fleet.start()
            demo = Demo(fleet=fleet, log_path=log_path, output=output)
            await demo.run()
            n_failed_checks = demo.n_failed_checks
    finally:
        await fleet.stop()
    summary = "All checks passed." if not n_failed_checks else "Some checks failed."
    print(summary, file=output, flush=True)
    return EXIT_SUCCESS if not n_failed_checks else EXIT_UNEXPECTED
