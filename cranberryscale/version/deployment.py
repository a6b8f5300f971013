"""Settings of an instance that finds the others by gossip from seeds."""

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
    'LISTENER_LIMITS',
    'Deployment',
    'OperatorBounds',
    'load_deployment',
    'parse_deployment',
]

Ratio = Annotated[float, msgspec.Meta(ge=0)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
LISTENER_LIMITS = settings.ListenerLimits(
    header_bytes=65536, body_bytes=64 * 1024 * 1024, threads=48
)


class DeploymentListenAddresses(msgspec.Struct, frozen=True):
    """The host:port pairs that the instance listens on."""

    callers: settings.Address
    health: settings.Address
    peers: settings.Address
    directory: settings.Address
    operators: settings.Address


class StoreEndpoint(msgspec.Struct, frozen=True):
    """The address of the platform's read-only key-value store."""

    address: settings.Address


class OperatorBounds(msgspec.Struct, frozen=True):
    """Bounds set by the operators of the deployment.

    A deployment whose operators do not set a bound leaves it out or empty.
    The defaults, which are the values of the first deployments, then apply
    to the instance's own behavior, and nobody holds the instance to them.
    """

    # Time without faults after which the bounds apply to an instance.
    contact: datetime.timedelta = datetime.timedelta(seconds=3)
    # A draining backend server receives no new requests after this time.
    drain: datetime.timedelta = datetime.timedelta(seconds=2)
    # From SIGTERM to SIGKILL.
    grace: datetime.timedelta = datetime.timedelta(seconds=6)
    config_apply: datetime.timedelta = datetime.timedelta(seconds=2)
    evacuation: datetime.timedelta = datetime.timedelta(seconds=5)
    # The longest time for which callers may cache a response of the directory.
    longest_answer: datetime.timedelta = datetime.timedelta(seconds=5)
    # Retry budget of a service per window: ratio x requests + slack.
    repeat_ratio: Ratio = 0.2
    repeat_window: datetime.timedelta = datetime.timedelta(seconds=10)
    repeat_slack: Ratio = 60
    # Largest number of requests of a customer per window:
    # (rate x window + burst) x (1 + excess) + slack.
    quota_window: datetime.timedelta = datetime.timedelta(seconds=5)
    quota_excess: Ratio = 0.25
    quota_slack: Ratio = 20
    # The fraction of a service's backend servers that stays in use.
    floor_ratio: Ratio = 0.7


class Deployment(msgspec.Struct, frozen=True):
    """Settings of one instance; unknown fields are ignored.

    `name` is the peer address, as in `seeds`. `label` is the machine's name
    in logs. `cores` is the part of a processor that is available to the
    instance, and `core_speed` how fast this processor is compared with that
    of the smallest instances.
    """

    name: settings.Address
    domain: str
    region: str
    addresses: DeploymentListenAddresses
    platform: StoreEndpoint
    label: str = ''
    cores: Positive = 1.0
    core_speed: Positive = 1.0
    memory_mb: Positive = 300
    seeds: tuple[settings.Address, ...] = ()
    terms: OperatorBounds = OperatorBounds()
    # Names of the bounds that the operators do not set.
    unset_terms: tuple[str, ...] = ()
    # Apply until the route of a request is known; the operators' limits are
    # part of the configuration.
    limits: settings.ListenerLimits = LISTENER_LIMITS
    # sender_s: callers may reuse a connection that was idle for 12 s.
    # connect_s: servers accept within about 5 ms. A lost SYN packet is
    # retransmitted after 1 s, so a slightly longer timeout would not help.
    timeouts: settings.Timeouts = settings.Timeouts(
        sender_s=20, connect_s=0.12, shutdown_s=0.2
    )

    @property
    def capacity(self) -> float:
        """Return the weight in the distribution of work over instances."""
        return self.cores * self.core_speed


def _convert_durations(data: dict[str, Any]) -> dict[str, Any]:
    # msgspec only parses ISO 8601 durations, so values such as "1500ms" are
    # converted beforehand.
    terms = data.get('terms', {})
    if not isinstance(terms, dict):
        return data
    field_types = {
        field.name: field.type
        for field in msgspec.structs.fields(OperatorBounds)
    }
    set_terms = {
        name: value
        for name, value in terms.items()
        if value != '' or name not in field_types
    }
    converted = {
        name: durations.parse_duration(value)
        if field_types.get(name) is datetime.timedelta
        else value
        for name, value in set_terms.items()
    }
    unset_terms = [name for name in field_types if name not in set_terms]
    return data | {'terms': converted, 'unset_terms': unset_terms}


def parse_deployment(text: str, source: str) -> Deployment:
    """Parse settings from a TOML text, or raise SettingsInvalid."""
    try:
        data = _convert_durations(tomllib.loads(text))
        return msgspec.convert(data, Deployment)
    except (ValueError, msgspec.ValidationError) as error:
        raise errors.make_error(
            'settings_invalid', f'{source}: {error}'
        ) from error


def load_deployment(path: pathlib.Path) -> Deployment:
    """Load settings from a TOML file, or raise SettingsInvalid."""
    return parse_deployment(settings.read_text(path), str(path))
