"""Run an instance on the users' machines."""

import os
import pathlib
from typing import NoReturn

from cranberryscale import entry
from cranberryscale.platform import dialect
from cranberryscale.platform import documents
from cranberryscale.platform import pages
from cranberryscale.platform import store


__all__ = ['main']

# The platform puts the settings here, filled in from the template that
# deploy/system.toml names.
SETTINGS_VARIABLE = 'CRANBERRYSCALE_BOOT'


def main() -> NoReturn:
    """Run until SIGTERM, and end the process."""
    machine = entry.Machine(
        store.StoreClient,
        documents.decode_entry,
        dialect.DIALECT,
        pages.Pages,
    )
    entry.run(pathlib.Path(os.environ[SETTINGS_VARIABLE]), machine)


if __name__ == '__main__':
    main()
