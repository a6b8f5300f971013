"""Text tables for operators."""

from typing import Any
from typing import Iterable
from typing import Sequence

from cranberryscale.process import audit
from cranberryscale.process import status
from cranberryscale.version import differences
from cranberryscale.version import findings


__all__ = [
    'render_audit',
    'render_findings',
    'render_fleet',
    'render_table',
]


def render_table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return a text table with columns as wide as their widest cell."""
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
    for instance in fleet:
        state = 'leaving' if instance['leaving'] else 'serving'
        if not instance['ready']:
            state = f'not ready ({instance["not_ready_reason"]})'
        keyed = (
            'yes' if instance['keyed_requests'] else instance['keyed_reason']
        )
        yield (
            instance['instance'],
            instance['domain'],
            state,
            instance['view_version'],
            keyed,
            f'{instance["confirmed_age_s"]:.1f}',
            ','.join(instance['suspected']) or '-',
            _render_versions(instance),
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
            instance['instance'],
        )
        for instance in fleet
        for pool in instance['pools']
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
            instance['instance'],
        )
        for instance in fleet
        for budget in instance['budgets']
    )


def _list_domain_rows(fleet: list[status.InstanceStatus]):
    states: dict[str, dict[str, list[str]]] = {}
    for instance in fleet:
        for domain, state in instance['domains'].items():
            reporters = states.setdefault(domain, {}).setdefault(state, [])
            reporters.append(instance['instance'])
    for domain, by_state in sorted(states.items()):
        for state, names in sorted(by_state.items()):
            yield domain, state, len(names)


def render_fleet(
    fleet: list[status.InstanceStatus], unreachable: list[str]
) -> str:
    """Return tables of the fleet's state as reported by each instance."""
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
    """Return the audit trail and any breaks of its hash chain."""
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


def _describe_difference(difference: differences.Difference) -> str:
    subject = f'{difference.subject} {difference.field}'.rstrip()
    if difference.before is None:
        return f'{subject} added'
    if difference.after is None:
        return f'{subject} removed'
    return f'{subject}: {difference.before} -> {difference.after}'


def render_findings(
    found: Iterable[findings.Finding],
    changes: Iterable[differences.Difference],
) -> str:
    """Return findings and differences as lines of text."""
    lines = [f'{f.level}: {f.subject}: {f.text} [{f.code}]' for f in found]
    lines += [f'changed: {_describe_difference(d)}' for d in changes]
    return '\n'.join(lines) if lines else 'nothing found'
