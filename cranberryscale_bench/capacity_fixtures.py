"""Fixtures of the capacity cases: instances and documents of any size."""

import datetime
import hashlib
import random
from typing import Any

from cranberryscale import messages
from cranberryscale import node as node_module
from cranberryscale.process import calls
from cranberryscale.version import settings
from cranberryscale.version import subtrees
from cranberryscale.version import view
from cranberryscale_bench import gossip_fleet


__all__ = [
    'START',
    'run_due_work',
    'list_customers',
    'list_keys',
    'list_pools',
    'list_routes',
    'make_node',
    'make_subtree',
    'start_holder',
]

START = datetime.timedelta(seconds=1000)
LEASE_WAIT = datetime.timedelta(seconds=8)
SECRET = 'a secret for measurements'
RATE_PER_S = 200


def list_customers(count: int, first: int = 0) -> str:
    """Return a document with `count` customers, numbered from `first`."""
    return ''.join(
        f'[[customers]]\nname = "customer-{n:07}"\n'
        f'rate_per_s = {RATE_PER_S}\nburst_requests = {RATE_PER_S}\n'
        for n in range(first, first + count)
    )


def list_keys(count: int, first: int = 0) -> str:
    """Return a document with one key for each of `count` customers."""
    digests = (
        hashlib.sha256(f'key-{n}'.encode()).hexdigest()
        for n in range(first, first + count)
    )
    return ''.join(
        f'[[keys]]\ndigest = "{digest}"\ncustomer = "customer-{n:07}"\n'
        for n, digest in enumerate(digests, first)
    )


def list_routes(count: int) -> str:
    """Return a document with one service and `count` routes."""
    return '[[services]]\nname = "s0"\n' + ''.join(
        f'[[routes]]\nname = "route-{n}"\nprefix = "/a/{n}"\n'
        'service = "s0"\nmethods = ["GET", "POST"]\n'
        for n in range(count)
    )


def list_pools(count: int, servers: int, domain: str = 'd0') -> str:
    """Return a document with `count` services of one pool each."""
    services = (
        f'[[services]]\nname = "s{n}"\n'
        + ''.join(
            f'[[servers]]\nname = "u{n}-{k}"\nservice = "s{n}"\n'
            f'domain = "{domain}"\naddress = "127.0.0.1:9"\nslots = 6\n'
            for k in range(servers)
        )
        for n in range(count)
    )
    return f'[[domains]]\nname = "{domain}"\n' + ''.join(services)


def make_subtree(
    team: str, documents: dict[str, str], version: int = 1
) -> subtrees.UncheckedSubtree:
    """Return a subtree of these documents with its manifest."""
    digests = ''.join(
        f'"{name}" = "{hashlib.sha256(text.encode()).hexdigest()}"\n'
        for name, text in documents.items()
    )
    manifest = (
        f'version = {version}\nowner = "o"\nchanged_by = "c"\n'
        f'[documents]\n{digests}'
    )
    return subtrees.UncheckedSubtree(
        team, {**documents, 'manifest.toml': manifest}
    )


def make_node(
    members: int,
    name: str = 'i000',
    published_view: view.MembershipView | None = None,
) -> node_module.Node:
    """Return an instance; its view has `members` members by default."""
    published = published_view or gossip_fleet.make_view(members)
    member = published.find_member(name)
    address = '127.0.0.1:9'
    options = settings.Settings(
        name=name,
        domain=member.domain if member else 'd0',
        secret=SECRET,
        addresses=settings.ListenAddresses(address, address, address),
        platform=settings.PlatformSettings('http://127.0.0.1:9'),
    )
    node = node_module.Node(options, 1, random.Random(1), START)
    node.load_view(published, START)
    return node


def start_holder(documents: dict[str, str]) -> node_module.Node:
    """Return the only instance of a fleet, which holds all leases."""
    node = make_node(1)
    node.load_subtrees([make_subtree('t', documents)], START, START)
    run_due_work(node, START + LEASE_WAIT)
    return node


def run_due_work(node: node_module.Node, now: datetime.timedelta) -> None:
    """Run due work of the instance, which answers its own calls at once."""
    node.advance(now)
    for plan in node.pop_background_plans(now):
        _run_plan(node, plan, now)


def _run_plan(node: node_module.Node, plan: calls.Plan, now) -> None:
    reply: Any = None
    try:
        while True:
            call = plan.send(reply)
            if isinstance(call, calls.Sleep):
                reply = calls.CallResult(None, now, now)
                continue
            body = messages.encode(call.message)
            answer = node.handle_message(
                node.instance_settings.name, messages.decode(body), now
            )
            reply = calls.CallResult(answer, now, now)
    except StopIteration:
        return
