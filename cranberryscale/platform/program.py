"""Run an instance on the users' machines."""

import os
import pathlib
from typing import NoReturn

from cranberryscale import core_daemon
from cranberryscale.platform import endpoints
from cranberryscale.platform import entry_decoding
from cranberryscale.platform import header_names
from cranberryscale.platform import store


__all__ = ['main']

# The platform puts the settings here, filled in from the template that
# deploy/system.toml names.
SETTINGS_VARIABLE = 'CRANBERRYSCALE_BOOT'


def main() -> NoReturn:
    """Run until SIGTERM, and end the process."""
    machine = core_daemon.PlatformAdapter(
        store.StoreClient,
        entry_decoding.decode_entry,
        header_names.BACKEND_HEADERS,
        endpoints.PlatformEndpoints,
    )
    core_daemon.run(pathlib.Path(os.environ[SETTINGS_VARIABLE]), machine)


if __name__ == '__main__':
    main()
