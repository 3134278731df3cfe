"""Startup code of the single-file executable.

Installs a finder that loads extension modules from the appended archive
through anonymous memory files (memfd), then runs the command line.
"""

import _frozen_importlib_external as _external
import _native
import posix
import sys
import zipimport

_PREFIX = "native/"
_SUFFIX = ".so"


class _NativeFinder:
    """Finds extension modules in the archive appended to the executable."""

    def __init__(self, archive):
        self._archive = archive
        self._module_names = {
            name[len(_PREFIX) : -len(_SUFFIX)]
            for name in archive._files
            if name.startswith(_PREFIX) and name.endswith(_SUFFIX)
        }

    def find_spec(self, name, path=None, target=None):
        """Return the spec of an extension module, or None."""
        if name not in self._module_names:
            return None
        file = self._copy_to_memfd(_PREFIX + name + _SUFFIX)
        loader = _external.ExtensionFileLoader(name, file)
        return _external.spec_from_file_location(name, file, loader=loader)

    def load_libraries(self):
        """Load the shared libraries listed in ``native/libraries.txt``.

        In the list, each library comes after those that it depends on.
        """
        names = self._archive.get_data("native/libraries.txt").decode()
        for name in names.split():
            _native.load_library(self._copy_to_memfd(_PREFIX + name))

    def _copy_to_memfd(self, name):
        """Copy a file of the archive to memory; return a path to it."""
        data = self._archive.get_data(name)
        descriptor = posix.memfd_create(name, posix.MFD_CLOEXEC)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[posix.write(descriptor, remaining) :]
        return f"/proc/self/fd/{descriptor}"


def _run():
    archive = zipimport.zipimporter(sys.executable)
    finder = _NativeFinder(archive)
    finder.load_libraries()
    sys.meta_path.insert(0, finder)
    from apricotseam.cli import main

    sys.exit(main(sys.argv[1:]))


_run()
