"""Steps for callers outside the limits."""

from behave import given, then, when

from features.support.crowds import (
    LIMITS,
    MB,
    Crowd,
    LimitedRouter,
    send_ahead,
    send_announced,
    send_chunked,
)
from features.support.gateways import GatewayTestbed

KB = 1_000
# Descriptors that a host reserves for files; sockets share the others.
FILE_DESCRIPTORS = 200


@given("a platform whose servers answer with {n_kb:d} KB")
def step_platform(context, n_kb):
    context.testbed = GatewayTestbed()
    context.add_cleanup(context.testbed.close)
    context.testbed.configure(limits=LIMITS)
    for name in ("a-1", "a-2"):
        context.testbed.add_server(name, "app")
        context.testbed.servers[name].n_body_bytes = n_kb * KB


@given("a router process with {n_mb:d} MB of memory and {n:d} descriptors")
def step_router(context, n_mb, n):
    context.memory_mb, context.max_sockets = n_mb, n - FILE_DESCRIPTORS
    context.router = LimitedRouter(
        store=context.testbed.store.address, memory_mb=n_mb, max_descriptors=n
    )
    context.add_cleanup(context.router.close)
    assert context.testbed.wait_for(lambda: is_served(context.router))


def is_served(router):
    try:
        return router.ask().status == 200
    except OSError:
        return False


def send_crowd(context, data, n):
    crowd = Crowd(address=context.router.address, data=data, n_connections=n)
    crowd.start()
    crowd.wait()


@when("{n:d} callers announce 4 GB and send {n_mb:d} MB each")
def step_announced(context, n, n_mb):
    send_crowd(context, send_announced(n_mb * MB), n)


@when("{n:d} callers send {n_kb:d} KB each in chunks of {n_bytes:d} bytes and no end")
def step_chunked(context, n, n_kb, n_bytes):
    send_crowd(context, send_chunked(n_kb * KB, chunk_bytes=n_bytes), n)


@when("{n:d} callers send {n_requests:d} requests ahead and read no answer")
def step_ahead(context, n, n_requests):
    send_crowd(context, send_ahead(n_requests), n)


@when("{n:d} callers open connections and send nothing")
def step_open(context, n):
    send_crowd(context, b"", n)


@then("the router has stayed within its host's limits")
def step_within(context):
    router = context.router
    assert router.is_running, router.process.returncode
    print(f"peak {router.peak_mb:.0f} MB, {router.max_sockets} sockets")
    assert router.peak_mb <= context.memory_mb, router.peak_mb
    assert router.max_sockets <= context.max_sockets, router.max_sockets


@then("it answers an ordinary request")
def step_ordinary(context):
    assert context.router.ask().status == 200


@when("a caller sends a body of {n_kb:d} KB")
def step_large(context, n_kb):
    context.reply = context.router.ask(body=b"x" * n_kb * KB)


@when("a caller sends a body of {n_kb:d} KB in chunks of {n_bytes:d} bytes")
def step_large_chunked(context, n_kb, n_bytes):
    data = send_chunked(n_kb * KB, chunk_bytes=n_bytes) + b"0\r\n\r\n"
    context.reply = context.router.send(data)


@then("it is served, and the router has stayed within its host's limits")
def step_served(context):
    assert context.reply.status == 200, context.reply.status
    step_within(context)
