#!/usr/bin/env python3
"""Prints a cache key and the name of each source file to lint. The key is a hash of the lint settings, the file and all
project headers that it includes, so that a changed header causes a new check only of the files that include it."""

import hashlib
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def sources():
    names = subprocess.run(["git", "ls-files", "-co", "--exclude-standard", "*.cpp"], cwd=ROOT, check=True,
                           capture_output=True, text=True).stdout.split()
    return [it for it in names if "/tests/" not in it and (ROOT / it).exists()]


def dependencies(build):
    """Maps each source file of the build to the project files that its object file depends on."""
    text = subprocess.run(["ninja", "-C", build, "-t", "deps"], check=True, capture_output=True, text=True).stdout
    found = {}
    for block in text.split("\n\n"):
        files = [pathlib.Path(build, it.strip()).resolve() for it in block.splitlines()[1:]]
        ours = [it for it in files if ROOT in it.parents and it.exists()]
        if files:
            found[files[0]] = ours
    return found


def main():
    settings = (ROOT / ".clang-tidy").read_bytes()
    depends = dependencies(sys.argv[1])
    for name in sources():
        path = ROOT / name
        digest = hashlib.sha256(settings)
        for it in sorted({path, *depends.get(path, [])}):
            digest.update(str(it.relative_to(ROOT)).encode() + it.read_bytes())
        print(digest.hexdigest()[:32], name)


if __name__ == "__main__":
    main()
