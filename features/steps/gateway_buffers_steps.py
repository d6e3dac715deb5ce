"""Steps for the memory of answers that are not complete."""

import asyncio
import socket

from behave import then, when

from damaskrill.gateway._buffers import MAX_ANSWER_BYTES, AnswerBuffer, BufferBudget
from damaskrill.http1 import InvalidAnswerError
from features.support.gateways import PROMPT, build_request

MB = 1_000_000
READ = b"x" * 65_536
SMALL_RECEIVE_BUFFER_BYTES = 4_096
SAMPLE_S = 0.005


def fill(buffer, n_bytes):
    """Append bytes and return whether all were accepted."""
    try:
        for _ in range(0, n_bytes, len(READ)):
            buffer.append(READ)
    except InvalidAnswerError:
        return False
    return True


@when("{n:d} answers without end are buffered at the same time")
def step_fill_all(context, n):
    budget = BufferBudget()
    buffers = [AnswerBuffer(budget=budget) for _ in range(n)]
    open_buffers, context.peak, context.largest = set(buffers), 0, 0
    for _ in range(MAX_ANSWER_BYTES // len(READ) + 1):
        for buffer in list(open_buffers):
            if not fill(buffer, len(READ)):
                open_buffers.discard(buffer)
            held = sum(each.n_bytes for each in buffers)
            context.peak = max(context.peak, held)
            context.largest = max(context.largest, buffer.n_bytes)
    context.open_buffers = open_buffers


@then("all buffers together have never held more than {n_mb:d} MB")
def step_peak(context, n_mb):
    # Buffers of less than one read are not counted.
    assert context.peak <= n_mb * MB + 40 * len(READ), context.peak


@then("each of the answers was refused at the latest after {n_mb:d} MB")
def step_refused(context, n_mb):
    assert not context.open_buffers, len(context.open_buffers)
    assert context.largest <= n_mb * MB, context.largest


@when("{n:d} answers without end are buffered beside sound answers of 1 MB")
def step_beside(context, n):
    budget = BufferBudget()
    endless = [AnswerBuffer(budget=budget) for _ in range(n)]
    sound = [AnswerBuffer(budget=budget) for _ in range(n)]
    context.accepted = [True] * n
    for number in range(MAX_ANSWER_BYTES // len(READ)):
        for buffer in endless:
            fill(buffer, len(READ))
        if number * len(READ) < MB:
            for index, buffer in enumerate(sound):
                context.accepted[index] &= fill(buffer, len(READ))
    context.bodies = [len(buffer.take()) for buffer in sound]


@then("no sound answer was refused")
def step_sound(context):
    assert all(context.accepted) and min(context.bodies) >= MB, context.bodies


@when("{n:d} answers of {n_mb:d} MB are abandoned one after another")
def step_abandon(context, n, n_mb):
    budget = BufferBudget()
    for _ in range(n):
        context.is_accepted = fill(AnswerBuffer(budget=budget), n_mb * MB)


@then("the last of them was buffered completely")
def step_last(context):
    assert context.is_accepted


@when("a caller sends a chat and reads nothing for {duration_ms:d} ms")
def step_reads_nothing(context, duration_ms):
    gateway = context.testbed.gateways[0]
    data, _ = build_request("/chat/1", headers=[PROMPT])

    async def run():
        caller = socket.socket()
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES
        )
        caller.connect(gateway._settings.caller_address)
        caller.sendall(data)
        context.max_unsent = 0
        ends_at = asyncio.get_running_loop().time() + duration_ms / 1_000
        while asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(SAMPLE_S)
            for connection in gateway._callers.connections:
                transport = connection.transport
                n_unsent = len(transport.dataBuffer) + transport._tempDataLen
                context.max_unsent = max(context.max_unsent, n_unsent)
        caller.close()

    context.testbed.call(run)


@then("at most {n_mb:g} MB were left unsent for it")
def step_unsent(context, n_mb):
    assert context.max_unsent <= n_mb * MB, context.max_unsent
