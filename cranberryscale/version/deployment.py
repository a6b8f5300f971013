"""Settings of an instance whose machine gives it no list of instances."""

import datetime
import pathlib
import tomllib
from typing import Annotated
from typing import Any

import msgspec

from cranberryscale import errors
from cranberryscale.version import durations
from cranberryscale.version import settings


__all__ = [
    'Deployment',
    'OperatorBounds',
    'load_deployment',
    'parse_deployment',
]

Ratio = Annotated[float, msgspec.Meta(ge=0)]
Positive = Annotated[float, msgspec.Meta(gt=0)]


class DeploymentListenAddresses(msgspec.Struct, frozen=True):
    """Hold the host:port pairs that the instance listens on."""

    callers: settings.Address
    health: settings.Address
    peers: settings.Address
    directory: settings.Address
    operators: settings.Address


class StoreEndpoint(msgspec.Struct, frozen=True):
    """Say where the platform's read-only store is."""

    address: settings.Address


class OperatorBounds(msgspec.Struct, frozen=True):
    """Hold the bounds that the operators of the deployment set.

    Each default is the value of the first deployments.
    """

    # How long an instance must be undisturbed before bounds apply to it.
    contact: datetime.timedelta = datetime.timedelta(seconds=3)
    # A leaving backend server gets nothing new after this time.
    drain: datetime.timedelta = datetime.timedelta(seconds=2)
    # From SIGTERM to SIGKILL.
    grace: datetime.timedelta = datetime.timedelta(seconds=6)
    config_apply: datetime.timedelta = datetime.timedelta(seconds=2)
    evacuation: datetime.timedelta = datetime.timedelta(seconds=5)
    # The longest lifetime of an answer of the directory.
    longest_answer: datetime.timedelta = datetime.timedelta(seconds=5)
    # Second attempts at a service in a window: ratio x requests + slack.
    repeat_ratio: Ratio = 0.2
    repeat_window: datetime.timedelta = datetime.timedelta(seconds=10)
    repeat_slack: Ratio = 60
    # Requests of a customer in a window: (rate x window + burst) x
    # (1 + excess) + slack.
    quota_window: datetime.timedelta = datetime.timedelta(seconds=5)
    quota_excess: Ratio = 0.25
    quota_slack: Ratio = 20
    # The part of a service's backend servers that stays in use.
    floor_ratio: Ratio = 0.7


class Deployment(msgspec.Struct, frozen=True):
    """Hold the settings of one instance; unknown fields are ignored.

    `name` is the peer address, which is also how seeds are known. `label`
    is the machine's name in logs. `cores` is the processor share, by which
    work is spread over unequal instances.
    """

    name: settings.Address
    domain: str
    region: str
    addresses: DeploymentListenAddresses
    platform: StoreEndpoint
    label: str = ''
    cores: Positive = 1.0
    memory_mb: Positive = 300
    seeds: tuple[settings.Address, ...] = ()
    terms: OperatorBounds = OperatorBounds()
    # Operators' limits come with the configuration; these bound a request
    # before its route is known.
    limits: settings.ListenerLimits = settings.ListenerLimits(
        header_bytes=65536, body_bytes=64 * 1024 * 1024, threads=48
    )
    # Callers may reuse a connection that was idle for 12 s. Servers accept
    # within some 5 ms; a lost opening packet is sent again after a second,
    # so that waiting longer for it gains nothing.
    timeouts: settings.Timeouts = settings.Timeouts(
        sender_s=20, connect_s=0.12, shutdown_s=0.2
    )


def _read_durations(data: dict[str, Any]) -> dict[str, Any]:
    # msgspec reads ISO 8601 durations only, so ours are converted before.
    terms = data.get('terms', {})
    if not isinstance(terms, dict):
        return data
    kinds = {
        field.name: field.type
        for field in msgspec.structs.fields(OperatorBounds)
    }
    read = {
        name: durations.parse_duration(value)
        if kinds.get(name) is datetime.timedelta
        else value
        for name, value in terms.items()
    }
    return data | {'terms': read}


def parse_deployment(text: str, source: str) -> Deployment:
    """Return the settings in a TOML text, or raise SettingsInvalid."""
    try:
        data = _read_durations(tomllib.loads(text))
        return msgspec.convert(data, Deployment)
    except (ValueError, msgspec.ValidationError) as error:
        raise errors.make_error(
            'settings_invalid', f'{source}: {error}'
        ) from error


def load_deployment(path: pathlib.Path) -> Deployment:
    """Return the settings in a file, or raise SettingsInvalid."""
    return parse_deployment(settings.read_text(path), str(path))
