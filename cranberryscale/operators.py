"""The HTTP client for operators of the fleet."""

from concurrent import futures
import json
from typing import Any
from typing import Callable
from typing import Iterable
from typing import NamedTuple

import urllib3

from cranberryscale import errors
from cranberryscale.process import audit
from cranberryscale.process import status


__all__ = ['InstanceResponse', 'OperatorClient', 'merge_audit']

TIMEOUT_S = 3.0
PARALLEL_CALLS = 32


class InstanceResponse(NamedTuple):
    """The response of one instance, or the error if there was none."""

    address: str
    value: Any
    error: str = ''


class OperatorClient:
    """A client that finds all instances from a few operators' addresses."""

    def __init__(self, addresses: Iterable[str]):
        self._addresses = tuple(addresses)
        self._pool = urllib3.PoolManager(retries=False, maxsize=PARALLEL_CALLS)

    def fetch(
        self,
        address: str,
        path: str,
        fields: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Return an instance's JSON response, or raise PeerUnreachable."""
        try:
            response = self._pool.request(
                'GET',
                f'http://{address}{path}',
                fields=fields,
                headers=headers,
                timeout=TIMEOUT_S,
            )
            if response.status != 200:
                raise errors.make_error(
                    'peer_unreachable', f'{address}: status {response.status}'
                )
            return json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise errors.make_error('peer_unreachable', address) from error

    def fetch_addresses(self) -> tuple[str, ...]:
        """Return the operators' addresses of all known instances."""
        found = set(self._addresses)
        for response in self._fetch_each(self._addresses, '/members'):
            found.update(
                member['operator_address'] for member in response.value or ()
            )
        return tuple(sorted(found))

    def fetch_statuses(self) -> tuple[InstanceResponse, ...]:
        """Return the status of every instance, reachable or not."""
        return tuple(self._fetch_each(self.fetch_addresses(), '/status'))

    def fetch_audits(self) -> tuple[InstanceResponse, ...]:
        """Return the audit records of every instance."""
        return tuple(self._fetch_each(self.fetch_addresses(), '/audit'))

    def _fetch_response(self, address: str, path: str) -> InstanceResponse:
        try:
            return InstanceResponse(address, self.fetch(address, path))
        except errors.PeerError as error:
            return InstanceResponse(address, None, str(error))

    def _fetch_each(
        self, addresses: Iterable[str], path: str
    ) -> Iterable[InstanceResponse]:
        with futures.ThreadPoolExecutor(PARALLEL_CALLS) as executor:
            fetch_one: Callable[[str], InstanceResponse] = lambda a: (
                self._fetch_response(a, path)
            )
            yield from executor.map(fetch_one, addresses)


def merge_audit(
    responses: Iterable[InstanceResponse], team: str = ''
) -> tuple[list[audit.AuditRecord], tuple[audit.ChainBreak, ...]]:
    """Return all records sorted by time, and the breaks of their hash chains.

    Chains are checked as a whole, before records are filtered by team.
    """
    records = [
        record for response in responses for record in response.value or ()
    ]
    faults = audit.check_chain(records)
    chosen = (
        record
        for record in records
        if not team or record['fields'].get('team') == team
    )
    return sorted(chosen, key=lambda record: record['at']), faults


def list_unreachable(responses: Iterable[InstanceResponse]) -> list[str]:
    """Return the addresses of instances that did not respond."""
    return [response.address for response in responses if response.error]


def list_reachable(
    responses: Iterable[InstanceResponse],
) -> list[status.InstanceStatus]:
    """Return the statuses that were received, sorted by instance name."""
    found = (response.value for response in responses if not response.error)
    return sorted(found, key=lambda value: value['instance'])
