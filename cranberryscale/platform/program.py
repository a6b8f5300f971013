"""The program that runs an instance on the users' platform."""

import os
import pathlib
from typing import NoReturn

from cranberryscale import core_daemon
from cranberryscale.platform import endpoints
from cranberryscale.platform import entry_decoding
from cranberryscale.platform import header_names
from cranberryscale.platform import store


__all__ = ['main']

# Holds the path of the settings, which the platform writes from the template
# named in deploy/system.toml.
SETTINGS_VARIABLE = 'CRANBERRYSCALE_BOOT'


def main() -> NoReturn:
    """Run an instance until SIGTERM, then exit the process."""
    adapter = core_daemon.PlatformAdapter(
        store.StoreClient,
        entry_decoding.decode_entry,
        header_names.BACKEND_HEADERS,
        endpoints.PlatformEndpoints,
    )
    core_daemon.run(pathlib.Path(os.environ[SETTINGS_VARIABLE]), adapter)


if __name__ == '__main__':
    main()
