"""Tests for several nodes together, without sockets."""

import datetime
import pathlib
import random

import pytest

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale import node
from cranberryscale.process import calls
from cranberryscale.request import actions
from cranberryscale.version import settings
from cranberryscale.version import subtrees
from cranberryscale.version import view


EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples' / 'ponte-nova'
DOMAINS = ('alvalade', 'belem', 'chiado')
COUNT = 12
STEP = datetime.timedelta(seconds=0.05)
HOP = datetime.timedelta(seconds=0.001)
CUSTOMER = 'tejo-sailing'

_SETTINGS = """
name = "{name}"
domain = "{domain}"
secret = "a secret for tests only"
addresses = {{ callers = "127.0.0.1:1", peers = "127.0.0.1:2", \
operators = "127.0.0.1:3" }}
platform = {{ url = "http://127.0.0.1:4" }}
"""


class Network:
    """A network of nodes with one clock.

    A message takes 1 ms unless the sender or the receiver is down.
    """

    def __init__(self):
        self.now = datetime.timedelta(seconds=1000)
        self.down = set()
        self.listed = view.MembershipView(
            1,
            tuple(
                view.Member(f'i{n:02}', DOMAINS[n % 3], '', f'{n}', '')
                for n in range(COUNT)
            ),
        )
        self.nodes = {m.name: self._make_node(m) for m in self.listed.members}

    def _make_node(self, member):
        text = _SETTINGS.format(**member._asdict())
        instance_settings = settings.parse_settings(text, 'test')
        rng = random.Random(int(member.name[1:]))
        instance = node.Node(instance_settings, 1, rng, self.now)
        instance.load_view(self.listed, self.now)
        instance.load_subtrees(
            subtrees.load_directory(EXAMPLE), self.now, self.now
        )
        return instance

    def run(self, name, plan):
        """Execute a plan of a node and return its result."""
        reply = None
        while True:
            try:
                step = plan.send(reply)
            except StopIteration as end:
                return end.value
            reply = self._execute_step(name, step)

    def _execute_step(self, name, step):
        sent_at = self.now
        if isinstance(step, calls.Sleep):
            self.now += step.delay
            return calls.CallResult(None, sent_at, self.now)
        self.now += HOP
        try:
            if step.target in self.down or name in self.down:
                raise errors.make_error('peer_unreachable', step.target)
            message = self._call(name, step)
        except errors.FleetError as error:
            return calls.CallResult(None, sent_at, self.now, error)
        self.now += HOP
        return calls.CallResult(message, sent_at, self.now)

    def _call(self, name, step):
        target = self.nodes[step.target]
        # Encode and decode all messages, as a real connection does.
        message = messages.decode(messages.encode(step.message))
        reply = target.handle_message(name, message, self.now)
        if isinstance(reply, node.Ticket):
            target.resource_holder.cancel_ticket(reply)
            return messages.PermitDenial('pool_busy', 0.1)
        return messages.decode(messages.encode(reply))

    def advance(self, seconds):
        """Run all nodes that are up for some time."""
        until = self.now + datetime.timedelta(seconds=seconds)
        turn = 0
        while self.now < until:
            turn += 1
            for name, instance in self.nodes.items():
                if name in self.down:
                    continue
                instance.advance(self.now)
                plans = instance.pop_background_plans(self.now)
                if turn % 8 == 0:
                    plans += instance.plan_gossip(self.now)
                    plans += instance.plan_confirmations(self.now)
                    instance.synchronizer.record_unchanged(self.now, self.now)
                for plan in plans:
                    self.run(name, plan)
                instance.pop_deferred_replies()
            self.now += STEP

    def admit(self, name, request_id):
        """Acquire a token and a permit for a request; return both."""
        instance = self.nodes[name]
        token = self.run(
            name, instance.plan_tokens(CUSTOMER, '', request_id, self.now)
        )
        ask = actions.AskPermit(
            'events', CUSTOMER, datetime.timedelta(seconds=3), (), True
        )
        return token, self.run(
            name, instance.plan_permit(ask, request_id, self.now)
        )


@pytest.fixture(scope='module')
def started():
    """Return a network in which all resources have holders."""
    network = Network()
    network.advance(20)
    return network


def test_every_pool_and_share_has_one_holder(started):
    """Two holders admit twice as much; without a holder all are refused."""
    held_pools = [
        (pool['service'], pool['domain'])
        for instance in started.nodes.values()
        for pool in instance.report_status(started.now)['pools']
    ]
    assert sorted(held_pools) == sorted(
        (service, domain)
        for service in ('bookings', 'events', 'guides')
        for domain in DOMAINS
    )


def test_requests_at_any_instance_share_one_budget(started):
    """Separate counts per instance would admit twelve times the burst."""
    customer = started.nodes['i00'].get_configuration().customers[CUSTOMER]
    began, admitted = started.now, 0
    for number in range(6 * customer.burst_requests):
        name = f'i{number % COUNT:02}'
        instance = started.nodes[name]
        request_id = f'r{number}'
        plan = instance.plan_tokens(CUSTOMER, '', request_id, started.now)
        token = started.run(name, plan)
        if isinstance(token, actions.TokensGranted):
            admitted += 1
            instance.tokens.settle_token(request_id, True, started.now)
    window_s = (started.now - began).total_seconds()
    limit = customer.rate_per_s * window_s + customer.burst_requests
    assert 0 < admitted <= limit


def test_permits_stay_within_slots_over_all_instances(started):
    """Separate limits per instance would together exceed the slots."""
    started.advance(3)
    used = {}
    for number in range(300):
        _, permit = started.admit(f'i{number % COUNT:02}', f's{number}')
        if isinstance(permit, actions.PermitGranted):
            used[permit.server] = used.get(permit.server, 0) + 1
    servers = started.nodes['i00'].get_configuration().servers
    assert used
    assert all(count <= servers[name].slots for name, count in used.items())
    started.advance(4)


def test_a_lost_holder_is_replaced_and_the_rest_serve(started):
    """The loss of an instance affects only its pools, for a bounded time."""
    lost = next(
        name
        for name, instance in started.nodes.items()
        if instance.report_status(started.now)['pools']
    )
    started.down.add(lost)
    started.advance(1)
    other = next(name for name in started.nodes if name != lost)
    _, permit = started.admit(other, 'while-lost')
    assert isinstance(permit, actions.PermitGranted)
    started.advance(30)
    pools = [
        pool
        for name, instance in started.nodes.items()
        if name != lost
        for pool in instance.report_status(started.now)['pools']
    ]
    assert len(pools) == 9


def test_callers_are_not_sent_to_a_leaving_instance(started):
    """Callers sent to a leaving instance would soon have to retry."""
    instance = started.nodes['i05']
    instance.is_leaving = True
    found = instance.choose_addresses(CUSTOMER, '', started.now)
    instance.is_leaving = False
    assert len(found.addresses) >= 3
    assert '5' not in found.addresses


def test_unlisted_senders_may_only_fetch(started):
    """A sender outside the membership view must not change any state."""
    instance = started.nodes['i00']
    with pytest.raises(errors.PeerError):
        instance.handle_message(
            'x', messages.TakeTokens(CUSTOMER, 0, 1, 'r'), started.now
        )
    reply = instance.handle_message('x', messages.FetchView(), started.now)
    assert reply.version == started.listed.version
