"""Run an instance on the users' machines."""

import os
import pathlib
import sys

from cranberryscale import entry
from cranberryscale.platform import dialect
from cranberryscale.platform import documents
from cranberryscale.platform import pages
from cranberryscale.platform import store


__all__ = ['main']

# The platform puts the settings here, filled in from the template that
# deploy/system.toml names.
SETTINGS_VARIABLE = 'CRANBERRYSCALE_BOOT'


def main() -> int:
    """Run until SIGTERM; return the exit code."""
    machine = entry.Machine(
        store.StoreClient,
        documents.decode_entry,
        dialect.DIALECT,
        pages.Pages,
    )
    return entry.run(pathlib.Path(os.environ[SETTINGS_VARIABLE]), machine)


if __name__ == '__main__':
    sys.exit(main())
