"""Tests for the decisions of a core, without I/O."""

import datetime
import random

import pytest
import test_published

from cranberryscale import core as cores
from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.platform import entry_decoding
from cranberryscale.process import roster
from cranberryscale.process import shards
from cranberryscale.version import deployment


START = datetime.timedelta(seconds=100)
SHARD = shards.Shard('x', 'a')
SECOND = datetime.timedelta(seconds=1)
CUSTOMERS = {
    'columns': ['name', 'api-keys', 'priority', 'rate-per-s', 'burst'],
    'rows': [['c', ['k1'], 1, 37, 37]],
}


def make_settings(number, seeds=()):
    address = f'10.0.0.{number}'
    listed = ', '.join(f'"{seed}"' for seed in seeds)
    return deployment.parse_deployment(
        f'name = "{address}:1"\ndomain = "a"\nregion = "r"\n'
        f'seeds = [{listed}]\nunknown = 5\n'
        f'[addresses]\ncallers = "{address}:2"\nhealth = "{address}:3"\n'
        f'peers = "{address}:1"\ndirectory = "{address}:4"\n'
        f'operators = "{address}:5"\n'
        '[platform]\naddress = "10.9.9.9:1"\n'
        '[terms]\ndrain = "2500ms"\n',
        'test',
    )


def make_core(number=1, seeds=(), epoch=1, since=START):
    core = cores.Core(
        make_settings(number, seeds),
        epoch,
        entry_decoding.decode_entry,
        random.Random(number),
        since,
    )
    body = test_published.make_policy(tenants=CUSTOMERS)
    changes = [
        test_published.make_change('op/config', 1, body),
        test_published.make_change(
            'servers/i1', 2, test_published.make_server()
        ),
    ]
    core.apply_store_update(tuple(changes), 2, True, False, since)
    core.roster.set_state(roster.InstanceState.READY, since)
    return core


def make_ask_server(**fields):
    values = {
        'shard': SHARD,
        'request_id': 'r/0',
        'target_s': 0.5,
        'waited_s': 0.0,
        'remaining_s': 1.0,
    }
    return messages.AskServer(**(values | fields))


def test_settings_are_read_and_unknown_fields_ignored():
    settings = make_settings(1)
    assert settings.terms.drain == 2.5 * SECOND
    assert settings.terms.grace == 6 * SECOND


@pytest.mark.parametrize(
    'line', ['[terms]\ndrain = "soon"', '[terms]\ndrain = 5', 'cores = -1']
)
def test_bad_settings_are_refused(line):
    text = 'name = "h:1"\ndomain = "a"\nregion = "r"\n' + line
    with pytest.raises(errors.SettingsInvalid):
        deployment.parse_deployment(text, 'test')


def test_a_permit_is_granted_and_finished():
    core = make_core()
    reply = core.handle_message('e', make_ask_server(), START)
    assert reply.server == 'i1'
    assert core.pools[SHARD].running_count == 1
    core.handle_message(
        'e', messages.FinishRequest(SHARD, reply.permit_id, 'ok', 0.1), START
    )
    assert core.pools[SHARD].running_count == 0


def test_a_draining_server_gets_no_more_permits():
    core = make_core()
    core.handle_message('e', make_ask_server(), START)
    body = test_published.make_server('draining')
    change = test_published.make_change('servers/i1', 9, body)
    core.apply_store_update((change,), 9, False, False, START)
    reply = core.handle_message('e', make_ask_server(request_id='r2/0'), START)
    assert (reply.server, reply.code) == ('', 'no_backend_server')


def test_pull_reply_has_changes_and_their_age():
    core = make_core()
    reply = core.handle_message('e', messages.PullChanges(0), START)
    assert reply.age_s < 0
    core.follower.record_store_answer(START)
    reply = core.handle_message('e', messages.PullChanges(1), START + SECOND)
    assert (reply.age_s, reply.revision) == (1.0, 2)
    assert [change.key for change in reply.changes] == ['servers/i1']


def test_messages_before_a_configuration_raise_not_ready():
    core = cores.Core(
        make_settings(1),
        1,
        entry_decoding.decode_entry,
        random.Random(1),
        START,
    )
    for message in (messages.AskQuota('c'), make_ask_server()):
        with pytest.raises(errors.NotReady):
            core.handle_message('e', message, START)


def test_an_unknown_customer_is_refused_with_a_typed_error():
    """The sender may have a newer configuration than the holder."""
    with pytest.raises(errors.NotHolder):
        make_core().handle_message('e', messages.AskQuota('nobody'), START)


def test_unsupported_messages_are_refused():
    with pytest.raises(errors.MessageUndecodable):
        make_core().handle_message('e', messages.FetchView(), START)


def test_addresses_are_those_of_ready_instances_up_to_a_limit():
    core = make_core()
    records = [
        roster.InstanceRecord(f'10.1.0.{n}:1', 1, 1, 'a', f'10.1.0.{n}:2', 1.0)
        for n in range(100)
    ]
    core.handle_message('e', messages.Exchange(tuple(records)), START)
    chosen = core.list_addresses(64)
    assert len(set(chosen)) == 64


def test_larger_instances_are_returned_to_more_callers():
    """Larger instances are listed more often if a response cannot list all."""
    core = make_core()
    records = [
        roster.InstanceRecord(
            f'10.1.0.{n}:1', 1, 1, 'a', f'10.1.0.{n}:2', 2.0 if n % 2 else 0.5
        )
        for n in range(120)
    ]
    core.handle_message('e', messages.Exchange(tuple(records)), START)
    large = {r.callers for r in records if r.cores > 1}
    named = [name for _ in range(50) for name in core.list_addresses(64)]
    share = sum(name in large for name in named) / len(named)
    assert 0.6 <= share <= 0.9
