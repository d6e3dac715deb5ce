"""Steps for requests whose connection ends, or might end, without an answer."""

import asyncio
import socket
import threading
import time

from behave import given, then, when

from damaskrill.fakes.platform import build_configuration as build_content
from damaskrill.fakes.platform import build_entry
from damaskrill.gateway import _responder
from features.support.gateways import Caller, GatewayTestbed, build_request

MAX_BODY_BYTES = 20_000_000
RECEIVE_BYTES = 1 << 20
RECEIVE_BUFFER_BYTES = 4_096
TIMEOUT_S = 3.0


@given("a gateway that is ready with a grace period of {grace_ms:d} ms")
def step_ready_with_grace(context, grace_ms):
    context.testbed.add_gateway(grace_ms=grace_ms)
    context.testbed.wait_until_ready()


@when("a caller sends an issuance and the gateway is stopped {delay_ms:d} ms later")
def step_stop_during_issuance(context, delay_ms):
    gateway = context.testbed.gateways[0]
    data, _ = build_request("/issue/1")

    async def run():
        caller = await Caller.open(gateway._settings.caller_address)
        caller.send(data)
        await asyncio.sleep(delay_ms / 1_000)
        reading = asyncio.create_task(caller.read_reply())
        await gateway.stop()
        # The process exits now; an answer that was sent before has been received.
        await asyncio.wait([reading], timeout=0.1)
        is_answered = reading.done()
        caller.close()
        reply = await reading
        return reply if is_answered else None

    context.reply = context.testbed.call(run)


@then("it is answered with {status:d} before the gateway has stopped")
def step_answered_before_stop(context, status):
    assert context.reply is not None, "no answer"
    assert context.reply.status == status, context.reply


@given("both app servers answer with {n_bytes:d} bytes")
def step_large_answers(context, n_bytes):
    body = b"x" * n_bytes

    async def run(connection, request):
        request_id = request.find_header(b"damaskrill-request-id")
        headers = (
            (b"Damaskrill-Request-Id", request_id),
            (b"Damaskrill-Response-Seal", b"seal"),
        )
        connection.send_answer(200, headers, body)

    for name in ("a-1", "a-2"):
        context.testbed.servers[name]._run = run


@when('a caller sends a read with "Connection: close" and reads after {delay_ms:d} ms')
def step_read_late(context, delay_ms):
    address = context.testbed.gateways[0]._settings.caller_address
    headers = [("Connection", "close")]
    data, _ = build_request("/read/1", method="GET", body=b"", headers=headers)
    received = bytearray()
    with socket.socket() as caller:
        # A small window, so that the answer does not fit into the sockets' buffers.
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.settimeout(TIMEOUT_S)
        caller.connect(address)
        caller.sendall(data)
        time.sleep(delay_ms / 1_000)
        try:
            while part := caller.recv(RECEIVE_BYTES):
                received += part
        except OSError as error:
            context.error = error
    context.received = bytes(received)


@then("it receives all {n_bytes:d} bytes")
def step_received_all(context, n_bytes):
    _, _, body = context.received.partition(b"\r\n\r\n")
    assert len(body) == n_bytes, (len(body), getattr(context, "error", None))


def serve_once(listener, silence_ms):
    """Answer one request on a socket that is not read for a while."""
    connection, _ = listener.accept()
    with connection:
        connection.settimeout(TIMEOUT_S)
        time.sleep(silence_ms / 1_000)
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                head += connection.recv(RECEIVE_BYTES)
            head, _, body = head.partition(b"\r\n\r\n")
            fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
            fields = {name.lower(): value for name, value in fields.items()}
            n_missing = int(fields[b"content-length"]) - len(body)
            while n_missing > 0:
                n_missing -= len(connection.recv(RECEIVE_BYTES))
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nDamaskrill-Response-Seal: seal\r\n"
                b"Damaskrill-Request-Id: %b\r\nContent-Length: 2\r\n\r\nok"
                % fields[b"damaskrill-request-id"]
            )
        except OSError:
            # The gateway has reset the connection, which its reply to the caller shows.
            return


@given("a platform with an app server that reads nothing for {silence_ms:d} ms")
def step_not_reading(context, silence_ms):
    testbed = context.testbed = GatewayTestbed()
    context.add_cleanup(testbed.close)
    limits = {**build_content()["limits"], "maxBodyBytes": MAX_BODY_BYTES}
    testbed.configure(limits=limits)
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    entry = build_entry(service="app", address=listener.getsockname())
    testbed.entries["a-9"] = entry
    testbed.call(testbed.store.put, "servers/a-9", entry)
    threading.Thread(
        target=serve_once, args=(listener, silence_ms), daemon=True
    ).start()


@when("a caller sends an issuance of {n_bytes:d} bytes")
def step_large_issuance(context, n_bytes):
    context.reply = context.testbed.send("/issue/1", body=b"b" * n_bytes)


@then("the issuance is answered with {status:d}")
def step_issuance_status(context, status):
    assert context.reply.status == status, context.reply


@given("the gateway fails to write the heads of answers")
def step_unwritable_heads(context):
    def fail(headers):
        raise ValueError("a head that cannot be written")

    original = _responder.forwarded_headers
    _responder.forwarded_headers = fail
    context.add_cleanup(setattr, _responder, "forwarded_headers", original)


@when("a caller sends a read and waits for the end of its connection")
def step_wait_for_end(context):
    address = context.testbed.gateways[0]._settings.caller_address
    data, _ = build_request("/read/1", method="GET", body=b"")

    async def run():
        caller = await Caller.open(address)
        caller.send(data)
        started_at = time.monotonic()
        try:
            await asyncio.wait_for(caller.reader.read(), TIMEOUT_S)
        except (TimeoutError, ConnectionError):
            pass
        caller.close()
        return (time.monotonic() - started_at) * 1_000

    context.elapsed_ms = context.testbed.call(run)


@then("the connection ends within {limit_ms:d} ms")
def step_connection_ended(context, limit_ms):
    assert context.elapsed_ms <= limit_ms, context.elapsed_ms
