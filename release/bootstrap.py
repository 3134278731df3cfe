"""First code of the one-file program.

Installs a finder that loads shared objects from the archive through
anonymous memory files, then runs the command line.
"""

import _frozen_importlib_external as _external
import _native
import posix
import sys
import zipimport

_PREFIX = "native/"
_SUFFIX = ".so"


class _NativeFinder:
    """Finds extension modules in the archive behind the executable."""

    def __init__(self, archive):
        self._archive = archive
        self._names = {
            name[len(_PREFIX) : -len(_SUFFIX)]
            for name in archive._files
            if name.startswith(_PREFIX) and name.endswith(_SUFFIX)
        }

    def find_spec(self, name, path=None, target=None):
        """Return the spec of an extension module, or None."""
        if name not in self._names:
            return None
        file = self._to_memory(_PREFIX + name + _SUFFIX)
        loader = _external.ExtensionFileLoader(name, file)
        return _external.spec_from_file_location(name, file, loader=loader)

    def load_libraries(self):
        """Load the libraries that extension modules are linked to."""
        order = self._archive.get_data("native/libraries.txt").decode()
        for name in order.split():
            _native.load_library(self._to_memory(_PREFIX + name))

    def _to_memory(self, name):
        data = self._archive.get_data(name)
        number = posix.memfd_create(name, posix.MFD_CLOEXEC)
        view = memoryview(data)
        while view:
            view = view[posix.write(number, view) :]
        return f"/proc/self/fd/{number}"


def _run():
    archive = zipimport.zipimporter(sys.executable)
    finder = _NativeFinder(archive)
    finder.load_libraries()
    sys.meta_path.insert(0, finder)
    from apricotseam.cli import main

    sys.exit(main(sys.argv[1:]))


_run()
