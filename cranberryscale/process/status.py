"""What an instance tells operators about itself."""

from typing import TypedDict


__all__ = [
    'BudgetStatus',
    'InstanceStatus',
    'PoolStatus',
    'ServerStatus',
    'SubtreeStatus',
]


class SubtreeStatus(TypedDict):
    """Describe the version of a subtree in force at an instance."""

    team: str
    version: int
    owner: str
    changed_by: str
    in_force_at: str


class ServerStatus(TypedDict):
    """Describe a backend server as its pool's holder sees it.

    `running` counts permits in use, `assumed` those that members which have
    not been heard may have.
    """

    server: str
    state: str
    reason: str
    running: int
    assumed: int
    limit: int
    slots: int
    evidence: float


class PoolStatus(TypedDict):
    """Describe a pool held by an instance."""

    service: str
    domain: str
    lease_left_s: float
    servers: list[ServerStatus]


class BudgetStatus(TypedDict):
    """Describe a budget share held by an instance."""

    customer: str
    share: int
    rate_per_s: float
    burst_requests: int
    tokens: float


class InstanceStatus(TypedDict):
    """Describe one instance; ages are seconds, -1 for never."""

    instance: str
    domain: str
    incarnation: int
    ready: bool
    not_ready_reason: str
    leaving: bool
    keyed_requests: bool
    keyed_reason: str
    confirmed_age_s: float
    view_version: int
    members: int
    suspected: list[str]
    heard_one_way: list[str]
    subtrees: list[SubtreeStatus]
    domains: dict[str, str]
    pools: list[PoolStatus]
    budgets: list[BudgetStatus]
