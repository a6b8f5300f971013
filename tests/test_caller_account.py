"""Guard the account of what callers hold, without a network."""

import datetime
import itertools
import random

import pytest

from cranberryscale import errors
from cranberryscale.process import caller_account


SECOND = datetime.timedelta(seconds=1)
LIMITS = caller_account.AccountLimits(4, 1000, 3 * SECOND, 1024, 2)


def make_account(**changes):
    return caller_account.CallerAccount(LIMITS._replace(**changes))


def open_silent(account, *names, address='a'):
    for name in names:
        account.open(name, address)
        account.set_silent(name)


def test_limit_on_connections_closes_the_longest_silent_one():
    account = make_account()
    open_silent(account, 1, 2, 3, 4)
    account.set_active(1)
    assert account.open(5, 'a') == caller_account.Opened(2)
    assert account.open(6, 'a') == caller_account.Opened(3)
    assert account.connection_count == 4


def test_address_with_most_connections_gives_way_first():
    account = make_account()
    open_silent(account, 1, address='few')
    open_silent(account, 2, 3, 4, address='many')
    assert account.open(5, 'few') == caller_account.Opened(2)


def test_connection_is_refused_if_none_is_silent():
    account = make_account(connections=2)
    account.open(1, 'a')
    account.open(2, 'a')
    assert account.open(3, 'a') == caller_account.Full()
    account.close(1)
    assert account.open(3, 'a') == caller_account.Opened(None)


def test_requests_ahead_do_not_keep_a_connection_at_the_limit():
    account = make_account(connections=2)
    account.open(1, 'a')
    account.charge(1, 10)
    assert account.continue_ahead(1)
    assert account.held_bytes == 0
    account.open(2, 'a')
    assert not account.continue_ahead(1)
    account.close(1)
    assert account.continue_ahead(2)


def test_connection_that_is_served_again_is_not_closed():
    account = make_account(connections=1)
    open_silent(account, 1)
    account.set_active(1)
    assert account.open(2, 'a') == caller_account.Full()
    account.set_silent(1)
    assert account.open(2, 'a') == caller_account.Opened(1)


def test_memory_over_the_limit_is_refused_as_not_run():
    account = make_account()
    account.open(1, 'a')
    account.open(2, 'b')
    account.charge(1, 500)
    account.charge(2, 500)
    with pytest.raises(errors.FleetError, match='callers_full') as raised:
        account.charge(2, 1)
    assert raised.value.entry.ran == errors.NOT_RUN
    assert raised.value.entry.status == 503
    account.set_silent(1)
    account.charge(2, 1)
    assert account.held_bytes == 501


def test_single_request_over_the_limit_is_admitted():
    account = make_account()
    account.open(1, 'a')
    for _ in range(30):
        account.charge(1, 100)
    assert account.held_bytes == 3000


def test_address_is_limited_only_near_the_limit():
    account = make_account()
    for name in (1, 2):
        account.open(name, 'greedy')
    account.open(3, 'other')
    # Over half of the limit, with room left for others.
    account.charge(1, 600)
    account.charge(2, 150)
    with pytest.raises(errors.FleetError, match='callers_full'):
        account.charge(2, 1)
    account.charge(3, 250)
    assert account.held_bytes == 1000


def make_progress(name, moved_bytes, is_waiting=True):
    return caller_account.Progress(name, moved_bytes, is_waiting)


def find_stalled(account, at_s, waiting, *progress):
    return account.find_stalled(progress, waiting, at_s * SECOND)


def test_stalled_connections_are_interrupted_slowest_first():
    account = make_account()
    for name in (1, 2, 3):
        account.open(name, 'a')
    begun = [make_progress(name, 0) for name in (1, 2, 3)]
    assert find_stalled(account, 0, 2, *begun) == []
    assert find_stalled(account, 2, 2, *begun) == []
    later = make_progress(1, 900), make_progress(2, 5), make_progress(3, 9000)
    assert find_stalled(account, 3, 2, *later) == [2, 1]


def test_stalled_connections_are_left_alone_while_none_waits():
    account = make_account()
    account.open(1, 'a')
    for at_s in range(20):
        assert find_stalled(account, at_s, 0, make_progress(1, 0)) == []
    assert find_stalled(account, 20, 1, make_progress(1, 0)) == [1]


def test_no_more_connections_are_interrupted_than_wait():
    account = make_account()
    for name in (1, 2, 3):
        account.open(name, 'a')
    begun = [make_progress(name, 0) for name in (1, 2, 3)]
    find_stalled(account, 0, 1, *begun)
    assert len(find_stalled(account, 3, 1, *begun)) == 1


def test_refused_requests_count_as_waiting_once():
    account = make_account(connections=1)
    account.open(1, 'a')
    find_stalled(account, 0, 0, make_progress(1, 0))
    account.open(2, 'a')
    assert find_stalled(account, 3, 0, make_progress(1, 0)) == [1]
    assert find_stalled(account, 4, 0, make_progress(1, 0)) == []


def test_request_without_room_at_servers_counts_as_waiting():
    account = make_account()
    account.open(1, 'a')
    find_stalled(account, 0, 0, make_progress(1, 0))
    account.record_refusal()
    assert find_stalled(account, 3, 0, make_progress(1, 0)) == [1]


def test_wait_for_a_server_does_not_count_as_stalled():
    account = make_account()
    account.open(1, 'a')
    find_stalled(account, 0, 1, make_progress(1, 0))
    find_stalled(account, 2, 1, make_progress(1, 0, False))
    assert find_stalled(account, 4, 1, make_progress(1, 0)) == []
    assert find_stalled(account, 6, 1, make_progress(1, 0)) == []
    assert find_stalled(account, 7, 1, make_progress(1, 0)) == [1]


def test_caller_at_the_least_pace_is_never_interrupted():
    account = make_account()
    account.open(1, 'a')
    for at_s in range(0, 60, 3):
        progress = make_progress(1, at_s * LIMITS.pace_bytes_per_s)
        assert find_stalled(account, at_s, 9, progress) == []


def test_half_of_the_threads_linger_while_others_wait():
    account = make_account()
    assert account.start_lingering(1)
    assert account.start_lingering(1)
    assert not account.start_lingering(1)
    assert account.start_lingering(0)
    account.end_lingering()
    account.end_lingering()
    assert account.start_lingering(1)


@pytest.mark.parametrize('seed', range(20))
def test_random_callers_stay_inside_the_limits(seed):
    """Sums must return to zero, whatever the order of events."""
    chance = random.Random(seed)
    account = make_account(connections=8)
    names, opened = itertools.count(1), [0]
    for _ in range(2000):
        name = chance.choice(opened[-12:])
        match chance.randrange(6):
            case 0:
                opened.append(next(names))
                account.open(opened[-1], f'a{chance.randrange(3)}')
            case 1:
                account.set_silent(name)
            case 2:
                account.set_active(name)
            case 3:
                before = account.held_bytes
                try:
                    account.charge(name, chance.randrange(600))
                except errors.FleetError as error:
                    assert error.code == 'callers_full'
                    assert account.held_bytes == before
            case 4:
                account.continue_ahead(name)
            case 5:
                account.close(name)
        assert account.connection_count <= 8
        assert account.held_bytes >= 0
    assert account.counts['connections'] > 0
    assert account.counts['memory'] > 0
    for name in opened:
        account.close(name)
    assert account.held_bytes == 0
    assert account.connection_count == 0
    assert account.remove_silent() is None


def test_limits_follow_from_the_machine():
    held_bytes = caller_account.derive_held_bytes(200)
    assert held_bytes == 50 * caller_account.MIB
    derive = caller_account.derive_connections
    assert derive(1280, 4100, held_bytes) == 1280
    assert derive(1280, 500, held_bytes) == 100
    assert derive(1280, 4100, caller_account.MIB) == 64
    assert derive(1280, 100, held_bytes) == 1
