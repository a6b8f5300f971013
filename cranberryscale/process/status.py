"""Status of an instance as published to operators."""

from typing import TypedDict


__all__ = [
    'BudgetStatus',
    'InstanceStatus',
    'PoolStatus',
    'ServerStatus',
    'SubtreeStatus',
]


class SubtreeStatus(TypedDict):
    """Version of a subtree in force at an instance."""

    team: str
    version: int
    owner: str
    changed_by: str
    in_force_at: str


class ServerStatus(TypedDict):
    """Status of a backend server at the holder of its pool.

    `running` counts permits in use, `assumed` those that members may have in
    use that have not replied to the survey.
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
    """Status of a pool held by an instance."""

    service: str
    domain: str
    lease_left_s: float
    servers: list[ServerStatus]


class BudgetStatus(TypedDict):
    """Status of a budget share held by an instance."""

    customer: str
    share: int
    rate_per_s: float
    burst_requests: int
    tokens: float


class InstanceStatus(TypedDict):
    """Status of one instance; ages are in seconds, -1 for never.

    `keyed_requests` is whether requests with an API key are served.
    `heard_one_way` lists members whose heartbeats are fresh although they
    leave pulls unanswered. `domains` maps failure domains to "in" or "out".
    """

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
