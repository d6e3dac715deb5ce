"""Steps for the bounds on attempts that are held."""

import asyncio

from behave import then, when

from damaskrill.gateway._attempt import Attempt, BadAnswer, StreamProgress
from damaskrill.gateway._buffers import AnswerBuffer, BufferBudget
from damaskrill.http1 import AnswerHead, InvalidAnswerError
from damaskrill.steering import AnswerMetadata

REQUEST_ID = "r-1"
EVENT_STREAM = (b"Content-Type", b"text/event-stream")
EVENTS = {
    "comments": lambda number: b":\n\n" * 1_000,
    "numbered events": lambda number: b"id: %d\ndata: %b\n\n" % (number, b"x" * 3_000),
}
# Bytes after which a test stops to feed an attempt that has not failed.
GIVE_UP_BYTES = 20_000_000


def hold_attempt(metadata):
    """Return a held attempt at a stream whose head has not been received."""
    attempt = Attempt(
        request_id=REQUEST_ID,
        read_answer=lambda head: metadata,
        progress=StreamProgress(None),
        on_metadata=lambda metadata: None,
        on_forward=lambda events: None,
        buffer=AnswerBuffer(budget=BufferBudget()),
    )
    attempt.hold()
    return attempt


@when("a held attempt receives {events} without end")
def step_feed_held(context, events):
    async def run():
        attempt = hold_attempt(AnswerMetadata(request_id=REQUEST_ID, is_sealed=True))
        attempt.handle_head(AnswerHead(status=200, headers=(EVENT_STREAM,)))
        n_bytes = number = 0
        while n_bytes < GIVE_UP_BYTES:
            number += 1
            data = EVENTS[events](number)
            n_bytes += len(data)
            try:
                attempt.handle_data(data)
            except InvalidAnswerError:
                context.is_refused = True
                break
        context.n_bytes, context.n_held = n_bytes, len(attempt._held_events)

    context.is_refused = False
    asyncio.run(run())


@then("it is refused, and it has kept at most {n_bytes:d} bytes")
def step_held_refused(context, n_bytes):
    figures = (context.is_refused, context.n_bytes, context.n_held)
    assert context.is_refused and 0 < context.n_held <= n_bytes, figures


@when("a held attempt receives the head of an answer {defect}")
def step_useless_head(context, defect):
    metadata = {
        "without proof of origin": AnswerMetadata(request_id=REQUEST_ID),
        "with an encoded body": AnswerMetadata(
            request_id=REQUEST_ID, is_sealed=True, is_encoded=True
        ),
    }[defect]

    async def run():
        attempt = hold_attempt(metadata)
        try:
            attempt.handle_head(AnswerHead(status=200, headers=(EVENT_STREAM,)))
        except InvalidAnswerError:
            context.is_refused = True
        context.attempt = attempt

    context.is_refused = False
    asyncio.run(run())


@then("it has ended with a bad answer, and is neither accepted nor revived")
def step_neither(context):
    attempt = context.attempt
    assert context.is_refused
    assert isinstance(attempt.done.result(), BadAnswer), attempt.done
    assert not attempt.accepted.done() and not attempt.revived.done()


@when("an attempt receives an answer with status {status:d} {sender}")
def step_answer_from(context, status, sender):
    metadata = AnswerMetadata(
        request_id="r-2" if sender == "to another request" else REQUEST_ID,
        is_sealed=True,
        is_other_server=sender == "from another server",
        is_not_run=status in (421, 503),
    )

    async def run():
        attempt = hold_attempt(metadata)
        try:
            attempt.handle_head(AnswerHead(status=status, headers=()))
        except InvalidAnswerError:
            # The body of such an answer is of no use.
            pass
        context.attempt = attempt

    asyncio.run(run())


@then("the server has answered: {is_answered}")
def step_is_answered(context, is_answered):
    assert context.attempt.is_answered == (is_answered == "yes")
