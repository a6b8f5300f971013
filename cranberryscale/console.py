"""Text tables for operators."""

from typing import Any
from typing import Iterable
from typing import Sequence

from cranberryscale.process import audit
from cranberryscale.process import status


__all__ = ['render_audit', 'render_fleet', 'render_table']


def render_table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return a table with columns as wide as their widest cell."""
    cells = [list(head), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells)]
    return ''.join(
        '  '.join(c.ljust(w) for c, w in zip(row, widths)).rstrip() + '\n'
        for row in cells
    )


def _render_versions(instance: status.InstanceStatus) -> str:
    return ' '.join(
        f'{subtree["team"]}={subtree["version"]}'
        for subtree in instance['subtrees']
    )


def _list_instance_rows(fleet: list[status.InstanceStatus]):
    for one in fleet:
        state = 'leaving' if one['leaving'] else 'serving'
        if not one['ready']:
            state = f'not ready ({one["not_ready_reason"]})'
        keyed = 'yes' if one['keyed_requests'] else one['keyed_reason']
        yield (
            one['instance'],
            one['domain'],
            state,
            one['view_version'],
            keyed,
            f'{one["confirmed_age_s"]:.1f}',
            ','.join(one['suspected']) or '-',
            _render_versions(one),
        )


def _list_server_rows(fleet: list[status.InstanceStatus]):
    return sorted(
        (
            pool['service'],
            pool['domain'],
            server['server'],
            server['state'],
            server['reason'] or '-',
            f'{server["running"]}/{server["limit"]}/{server["slots"]}',
            one['instance'],
        )
        for one in fleet
        for pool in one['pools']
        for server in pool['servers']
    )


def _list_budget_rows(fleet: list[status.InstanceStatus]):
    return sorted(
        (
            budget['customer'],
            budget['share'],
            f'{budget["rate_per_s"]:.2f}',
            budget['burst_requests'],
            f'{budget["tokens"]:.1f}',
            one['instance'],
        )
        for one in fleet
        for budget in one['budgets']
    )


def _list_domain_rows(fleet: list[status.InstanceStatus]):
    states: dict[str, dict[str, list[str]]] = {}
    for one in fleet:
        for domain, state in one['domains'].items():
            seen = states.setdefault(domain, {}).setdefault(state, [])
            seen.append(one['instance'])
    for domain, by_state in sorted(states.items()):
        for state, names in sorted(by_state.items()):
            yield domain, state, len(names)


def render_fleet(
    fleet: list[status.InstanceStatus], unreachable: list[str]
) -> str:
    """Return the fleet as seen by every reachable instance."""
    sections = (
        (
            'instance domain state list keyed confirmed_s suspects versions',
            _list_instance_rows(fleet),
        ),
        ('domain state instances', _list_domain_rows(fleet)),
        (
            'service domain server state reason used/limit/slots holder',
            _list_server_rows(fleet),
        ),
        (
            'customer share rate/s burst tokens holder',
            _list_budget_rows(fleet),
        ),
    )
    text = '\n'.join(
        render_table(head.split(), rows) for head, rows in sections
    )
    if unreachable:
        text += f'\nunreachable: {" ".join(unreachable)}\n'
    return text


def render_audit(
    records: list[audit.AuditRecord], faults: tuple[audit.ChainBreak, ...]
) -> str:
    """Return the audit trail, and the faults of the chain if any."""
    text = render_table(
        ('at', 'instance', 'event', 'fields'),
        (
            (
                record['at'],
                record['instance'],
                record['event'],
                ' '.join(f'{k}={v}' for k, v in record['fields'].items()),
            )
            for record in records
        ),
    )
    return text + ''.join(
        f'fault: {fault.instance} record {fault.number}: {fault.reason}\n'
        for fault in faults
    )
