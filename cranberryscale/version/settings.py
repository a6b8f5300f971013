"""Settings of an instance with a published instance list, from a TOML file."""

import pathlib
import tomllib
from typing import Annotated

import msgspec

from cranberryscale import errors


__all__ = ['Settings', 'load_settings', 'parse_settings', 'read_text']

Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Count = Annotated[int, msgspec.Meta(gt=0)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Address = Annotated[
    str, msgspec.Meta(pattern=r'^[A-Za-z0-9.:\[\]-]+:[0-9]{1,5}\Z')
]
Url = Annotated[str, msgspec.Meta(pattern=r'^https?://[^\s/]+\Z')]
# A withdrawn key must stop working within 4 s, so longer is not allowed.
ConfirmationSeconds = Annotated[float, msgspec.Meta(gt=0, le=4)]


class ListenAddresses(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The host:port pairs that the instance listens on.

    Callers, peers and operators use separate ports, so that a caller cannot
    reach the operations of peers.
    """

    callers: Address
    peers: Address
    operators: Address


class PlatformSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """The addresses of the platform's read-only services.

    `watch_s` is the wait of a blocking query for the instance list, and
    `subtrees_watch_s` for the subtrees. The latter is short, since each
    response confirms that keys are still valid.
    """

    url: Url
    prefix: str = 'cranberryscale'
    instance_service: str = 'cranberryscale'
    watch_s: Seconds = 10.0
    subtrees_watch_s: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.5


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timing of leases and gossip; must be equal on all instances."""

    lease_s: Seconds = 7.0
    suspect_s: Seconds = 6.0
    gossip_s: Seconds = 0.35
    drift_ratio: Annotated[float, msgspec.Meta(ge=0, le=0.1)] = 0.01


class ListenerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the listener for callers.

    `connections` and `held_mb` bound what all callers hold together. The
    memory and descriptors of the machine bound them further, and `held_mb`
    follows from the memory if it is not set. A caller that moves fewer than
    `pace_bytes_per_s` for `stall_s` is disconnected if others wait for its
    thread.
    """

    header_bytes: Count = 32768
    body_bytes: Count = 10485760
    threads: Count = 32
    queued_connections: Count = 256
    connections: Count = 1280
    held_mb: Positive | None = None
    stall_s: Seconds = 3.0
    pace_bytes_per_s: Count = 1024


class Timeouts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timeouts of network calls, leases of tokens and shutdown."""

    sender_s: Seconds = 10.0
    connect_s: Seconds = 1.0
    peer_s: Seconds = 0.25
    confirm_s: ConfirmationSeconds = 4.0
    # Granted tokens count against the burst until they are settled or for
    # this long. It has to cover the wait for a permit: with 0.1, an instance
    # at 100 requests/s asked for two tokens per request.
    grant_s: Seconds = 0.25
    # How long an idempotency key is remembered.
    once_s: Seconds = 600.0
    # How long callers may cache a response that lists this instance, and how
    # long the instance list may lag. A draining instance serves for the sum.
    answer_lifetime_s: Seconds = 10.0
    list_lag_s: Seconds = 5.0
    shutdown_s: Seconds = 60.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one instance.

    `secret` is shared by the fleet and signs messages between instances.
    `seeds` maps names to peer addresses: an instance that starts while the
    platform is unavailable fetches the instance list and the configuration
    from them. `memory_mb` and `max_fds` are the limits of the process.
    """

    name: str
    domain: str
    secret: Annotated[str, msgspec.Meta(min_length=16)]
    addresses: ListenAddresses
    platform: PlatformSettings
    leases: LeaseSettings = LeaseSettings()
    limits: ListenerLimits = ListenerLimits()
    timeouts: Timeouts = Timeouts()
    memory_mb: Positive = 300
    max_fds: Count = 4100
    seeds: dict[str, str] = {}


def parse_settings(text: str, source: str) -> Settings:
    """Parse settings from a TOML text, or raise SettingsInvalid."""
    try:
        data = tomllib.loads(text)
        return msgspec.convert(data, Settings)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise errors.make_error(
            'settings_invalid', f'{source}: {error}'
        ) from error


def read_text(path: pathlib.Path) -> str:
    """Return the text of a settings file, or raise SettingsInvalid."""
    try:
        return path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.make_error(
            'settings_invalid', f'{path}: {error}'
        ) from error


def load_settings(path: pathlib.Path) -> Settings:
    """Load settings from a TOML file, or raise SettingsInvalid."""
    return parse_settings(read_text(path), str(path))
