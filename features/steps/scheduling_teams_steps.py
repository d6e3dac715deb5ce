"""Steps for a scheduler that meets very many teams."""

from collections import Counter, deque

from behave import then, when

from damaskrill.scheduling import SlotAssignment, SlotRefusal, SlotRefusalReason
from features.support.call_counter import CallCounter

# Every fifth request is of the hot team; the calls of every 16th are counted.
HOT_PERIOD = 5
COUNTED_PERIOD = 16


def is_hot(number):
    return number % HOT_PERIOD == 0


@when(
    "{n_teams:d} teams send a request of {duration_ms:d} ms each "
    "within {duration_s:d} s beside a hot team"
)
def step_teams(context, n_teams, duration_ms, duration_s):
    service = context.service
    n_requests = n_teams * HOT_PERIOD // (HOT_PERIOD - 1)
    held = deque()
    context.n_calls = 0

    def hold(decisions):
        held.extend(
            (service.now_ms + duration_ms, each.number)
            for each in decisions
            if isinstance(each, SlotAssignment)
        )

    def count(number, call, *arguments, **values):
        if number % COUNTED_PERIOD:
            return call(*arguments, **values)
        with CallCounter() as calls:
            decisions = call(*arguments, **values)
        context.n_calls = max(context.n_calls, calls.n_calls)
        return decisions

    for number in range(n_requests):
        service.advance(1_000 * duration_s / n_requests)
        while held and held[0][0] <= service.now_ms:
            ended = held.popleft()[1]
            hold(count(ended, service.release, ended))
        team = "hot" if is_hot(number) else f"team-{number}"
        hold(count(number, service.request, number, team=team))
    context.refused = Counter(
        (is_hot(each), service.decisions[each].reason)
        for each in service.numbers(SlotRefusal)
    )


@then("the hot team's refusals are for its share in {percent:d} of 100 cases at least")
def step_hot_refused(context, percent):
    check_share(context, is_of_hot=True, low=percent, high=100)


@then("those of the others in {percent:d} of 100 cases at most")
def step_others_refused(context, percent):
    check_share(context, is_of_hot=False, low=0, high=percent)


def check_share(context, *, is_of_hot, low, high):
    refused = context.refused
    n_refused = sum(n for (found, _), n in refused.items() if found is is_of_hot)
    n_for_share = refused[is_of_hot, SlotRefusalReason.TEAM_SHARE]
    assert n_refused and low <= 100 * n_for_share / n_refused <= high, refused


@then("no request or release takes more than {n_calls:d} calls of functions")
def step_bounded_calls(context, n_calls):
    assert context.n_calls <= n_calls, context.n_calls
