"""Entries of Consul responses, converted to subtrees and instances."""

import base64
import binascii
from typing import Iterator

from absl import logging
import msgspec

from cranberryscale import errors
from cranberryscale.version import subtrees
from cranberryscale.version import view


__all__ = ['HealthEntry', 'KvEntry', 'group_subtrees', 'parse_members']

MAX_VALUE_BYTES = 1 << 20


class KvEntry(msgspec.Struct):
    """Entry of the key-value store."""

    Key: str
    ModifyIndex: int
    Value: str | None = None


class _Service(msgspec.Struct):
    ID: str
    Port: int
    Address: str = ''
    Meta: dict[str, str] | None = None


class _Node(msgspec.Struct):
    Address: str = ''


class _Check(msgspec.Struct):
    Name: str = ''
    Status: str = ''


class HealthEntry(msgspec.Struct):
    """Instance of a service with its node and health checks."""

    Service: _Service
    Node: _Node | None = None
    Checks: tuple[_Check, ...] | None = None


def _read_value(entry: KvEntry) -> str | None:
    # A value that is too large or not text is the mistake of one team. It is
    # skipped, so that only this team's subtree is refused as incomplete.
    try:
        data = base64.b64decode(entry.Value or '', validate=True)
    except (binascii.Error, ValueError) as error:
        raise errors.make_error(
            'platform_malformed', f'{entry.Key} is not base64'
        ) from error
    if len(data) > MAX_VALUE_BYTES:
        logging.warning(
            'event=value_too_large key=%s bytes=%s', entry.Key, len(data)
        )
        return None
    try:
        return data.decode('utf-8')
    except UnicodeDecodeError:
        logging.warning('event=value_not_text key=%s', entry.Key)
        return None


def _is_leaving(entry: HealthEntry) -> bool:
    meta = entry.Service.Meta or {}
    return meta.get('leaving') == 'true' or any(
        check.Name == 'leaving' and check.Status != 'passing'
        for check in entry.Checks or ()
    )


def group_subtrees(
    prefix: str, entries: tuple[KvEntry, ...]
) -> tuple[subtrees.UncheckedSubtree, ...]:
    """Return the subtrees in a recursive read of a prefix.

    Raises PlatformMalformed for a value that is not base64.
    """
    texts: dict[str, dict[str, str]] = {}
    modify_indexes: dict[str, int] = {}
    for entry in entries:
        parts = entry.Key.removeprefix(f'{prefix}/').split('/')
        if len(parts) != 2 or not parts[1].endswith('.toml'):
            continue
        team, name = parts
        documents = texts.setdefault(team, {})
        text = _read_value(entry)
        if text is not None:
            documents[name] = text
        if name == subtrees.MANIFEST:
            modify_indexes[team] = entry.ModifyIndex
    return tuple(
        subtrees.UncheckedSubtree(team, documents, modify_indexes.get(team, 0))
        for team, documents in sorted(texts.items())
    )


def parse_members(entries: tuple[HealthEntry, ...]) -> Iterator[view.Member]:
    """Yield the well-formed instances among health entries."""
    seen = set()
    for entry in entries:
        service = entry.Service
        meta = service.Meta or {}
        node = entry.Node.Address if entry.Node else ''
        host = service.Address or node
        required = (service.ID, host, meta.get('domain'), meta.get('callers'))
        if not all(required) or not 0 < service.Port < 65536:
            # A malformed registration must not hide the other instances.
            logging.warning('event=instance_malformed id=%s', service.ID)
            continue
        if service.ID in seen:
            logging.warning('event=instance_repeated id=%s', service.ID)
            continue
        seen.add(service.ID)
        yield view.Member(
            service.ID,
            meta['domain'],
            f'{host}:{service.Port}',
            meta['callers'],
            meta.get('operators', ''),
            _is_leaving(entry),
        )
