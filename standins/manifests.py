"""Writes the manifests of a directory of subtrees, for local fleets."""

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
    """Write the manifest of each changed subtree and yield the subtree's path.

    Its version increases by one and its owner stays. The owner of a new
    subtree is `changed_by`.
    """
    for subtree in subtrees.load_directory(directory):
        path = directory / subtree.team
        version, owner = 0, changed_by
        manifest = subtrees.read_manifest(subtree)
        if not isinstance(manifest, documents.DocumentFault):
            version, owner = manifest.version, manifest.owner
            current_text = subtrees.make_manifest(
                path, version, owner, manifest.changed_by
            )
            if current_text == subtree.documents[subtrees.MANIFEST]:
                continue
        text = subtrees.make_manifest(path, version + 1, owner, changed_by)
        (path / subtrees.MANIFEST).write_text(text, 'utf-8')
        yield path


def load_values_with_addresses(
    directory: pathlib.Path,
    addresses: Mapping[str, str],
    prefix: str = 'cranberryscale',
) -> dict[str, str]:
    """Return a directory's subtrees as key-value pairs of the platform.

    `addresses` maps addresses of backend servers to those that replace them.
    The manifests are made for the changed documents.
    """

    def replace(match: re.Match) -> str:
        return match[1] + addresses.get(match[2], match[2]) + match[3]

    values = {}
    for subtree in subtrees.load_directory(directory):
        texts = {
            name: _ADDRESS.sub(replace, text)
            for name, text in subtree.documents.items()
        }
        manifest = subtrees.read_manifest(subtree)
        if not isinstance(manifest, documents.DocumentFault):
            texts[subtrees.MANIFEST] = subtrees.format_manifest(
                texts, manifest.version, manifest.owner, manifest.changed_by
            )
        for name, text in texts.items():
            values[f'{prefix}/{subtree.team}/{name}'] = text
    return values


def main() -> None:
    """Write the manifests and print the subtrees that changed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('directory', type=pathlib.Path)
    parser.add_argument('--changed-by', required=True)
    options = parser.parse_args()
    for path in write_manifests(options.directory, options.changed_by):
        print(f'changed={path.name}')


if __name__ == '__main__':
    main()
