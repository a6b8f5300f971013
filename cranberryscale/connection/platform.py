"""Client of the platform's read-only configuration service."""

import base64
import json
from typing import NamedTuple

import urllib3

from cranberryscale import errors


__all__ = ['PlatformClient', 'Reading']


class Reading(NamedTuple):
    """Hold the documents under a prefix at one index."""

    index: int
    documents: dict[str, str]


class PlatformClient:
    """Read and watch documents by the Consul KV protocol."""

    def __init__(self, url: str, prefix: str):
        self._url = url
        self._prefix = prefix
        self._pool = urllib3.PoolManager(retries=False)

    def read_documents(self, index: int, wait_s: float) -> Reading:
        """Wait for a change after `index` and return all documents."""
        url = f'{self._url}/v1/kv/{self._prefix}/'
        fields = {'recurse': '', 'index': str(index), 'wait': f'{wait_s}s'}
        timeout_s = wait_s + wait_s / 16 + 2
        try:
            answer = self._pool.request(
                'GET', url, fields=fields, timeout=timeout_s
            )
            rows = json.loads(answer.data)
            return Reading(
                int(answer.headers['X-Consul-Index']),
                {
                    row['Key']: base64.b64decode(row['Value']).decode()
                    for row in rows
                },
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.make_error('platform_unavailable', error) from error
        except (ValueError, KeyError, TypeError) as error:
            raise errors.make_error('platform_malformed', error) from error
