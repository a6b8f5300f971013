"""Manifests of a directory of subtrees, for local fleets."""

import argparse
import pathlib
import re
from typing import Iterator
from typing import Mapping

from cranberryscale.version import documents
from cranberryscale.version import subtrees


__all__ = ['load_values_with_addresses', 'main', 'write_manifests']

_ADDRESS = re.compile(r'^(address = ")([^"]+)(")', re.MULTILINE)


def write_manifests(
    directory: pathlib.Path, changed_by: str
) -> Iterator[pathlib.Path]:
    """Raise the version of each changed subtree by one; yield its path.

    The owner stays; a new subtree's owner is `changed_by`.
    """
    for offer in subtrees.load_directory(directory):
        path = directory / offer.team
        version, owner = 0, changed_by
        known = subtrees.read_manifest(offer)
        if not isinstance(known, documents.DocumentFault):
            version, owner = known.version, known.owner
            same = subtrees.make_manifest(
                path, version, owner, known.changed_by
            )
            if same == offer.documents[subtrees.MANIFEST]:
                continue
        text = subtrees.make_manifest(path, version + 1, owner, changed_by)
        (path / subtrees.MANIFEST).write_text(text, 'utf-8')
        yield path


def load_values_with_addresses(
    directory: pathlib.Path,
    addresses: Mapping[str, str],
    prefix: str = 'cranberryscale',
) -> dict[str, str]:
    """Return a directory's subtrees as values of the platform.

    Backend servers' addresses are replaced as `addresses` says, old to new,
    and the manifests written anew.
    """

    def replace(found: re.Match) -> str:
        return found[1] + addresses.get(found[2], found[2]) + found[3]

    values = {}
    for offer in subtrees.load_directory(directory):
        texts = {
            name: _ADDRESS.sub(replace, text)
            for name, text in offer.documents.items()
        }
        known = subtrees.read_manifest(offer)
        if not isinstance(known, documents.DocumentFault):
            texts[subtrees.MANIFEST] = subtrees.format_manifest(
                texts, known.version, known.owner, known.changed_by
            )
        for name, text in texts.items():
            values[f'{prefix}/{offer.team}/{name}'] = text
    return values


def main() -> None:
    """Write the manifests and print which changed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('directory', type=pathlib.Path)
    parser.add_argument('--changed-by', required=True)
    options = parser.parse_args()
    for path in write_manifests(options.directory, options.changed_by):
        print(f'changed={path.name}')


if __name__ == '__main__':
    main()
