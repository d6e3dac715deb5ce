"""Entry point of the one-file program, with importers for extension modules.

The standard library imports Python modules from the archive. The dynamic linker needs a
file for each shared library, so each is written to a temporary folder when it is first
imported and unlinked as soon as it is loaded: no library remains on disk, however the
process ends.
"""

import os
import sys
import zipimport
from importlib.machinery import ExtensionFileLoader, ModuleSpec, PathFinder

import onefile_index

TEMPORARY_FOLDERS = ("/tmp", "/var/tmp", "/run")
CREATE_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC


class Archive:
    """Access to shared libraries and data files in the archive."""

    def __init__(self):
        self._importer = zipimport.zipimporter(sys.path[0])
        self._n_files = 0
        self._loaded = set()

    def write_temporary(self, entry):
        """Write an entry of the archive to a new private file and return its path."""
        content = self._importer.get_data(entry)
        name = f"damaskrill-{os.getpid()}-{self._n_files}-{os.path.basename(entry)}"
        self._n_files += 1
        failure = None
        for folder in self._folders():
            path = os.path.join(folder, name)
            try:
                descriptor = os.open(path, CREATE_FLAGS, 0o700)
            except OSError as error:
                failure = error
                continue
            with os.fdopen(descriptor, "wb") as file:
                file.write(content)
            return path
        raise ImportError(f"no temporary folder is writable: {failure}")

    def extract(self, entries):
        """Write entries to a new private folder that is removed at exit."""
        import atexit
        import shutil
        import tempfile

        folder = tempfile.mkdtemp(prefix="damaskrill-", dir=self._writable_folder())
        atexit.register(shutil.rmtree, folder, ignore_errors=True)
        for entry in entries:
            path = os.path.join(folder, entry)
            os.makedirs(os.path.dirname(path), exist_ok=True)
            with open(path, "wb") as file:
                file.write(self._importer.get_data(entry))
        return folder

    def _writable_folder(self):
        writable = [each for each in self._folders() if os.access(each, os.W_OK)]
        if not writable:
            raise ImportError("no temporary folder is writable")
        return writable[0]

    def _folders(self):
        configured = os.environ.get("TMPDIR")
        return (configured, *TEMPORARY_FOLDERS) if configured else TEMPORARY_FOLDERS

    def load_required_libraries(self, entry):
        """Load the shared libraries that an extension module depends on."""
        try:
            from _onefile import load_library
        except ImportError:
            # Without the launcher, the interpreter uses the system's libraries.
            return
        for library in onefile_index.REQUIRED_LIBRARIES.get(entry, ()):
            if library in self._loaded:
                continue
            self._loaded.add(library)
            path = self.write_temporary(library)
            try:
                load_library(path)
            finally:
                os.unlink(path)


class ArchiveExtensionLoader(ExtensionFileLoader):
    """Loader of an extension module in the archive."""

    def __init__(self, name, entry, archive):
        super().__init__(name, os.path.join(sys.path[0], entry))
        self._entry = entry
        self._archive = archive

    def create_module(self, spec):
        """Load the shared library from a temporary file that is unlinked at once."""
        self._archive.load_required_libraries(self._entry)
        path = self._archive.write_temporary(self._entry)
        try:
            return super().create_module(ModuleSpec(spec.name, self, origin=path))
        finally:
            os.unlink(path)


class ArchiveExtensionFinder:
    """Finder of extension modules by the index that the build wrote."""

    def __init__(self, archive):
        self._archive = archive

    def find_spec(self, name, path=None, target=None):
        """Return the specification of an extension module; None for others."""
        entry = onefile_index.EXTENSION_MODULES.get(name)
        if entry is None:
            return None
        loader = ArchiveExtensionLoader(name, entry, self._archive)
        return ModuleSpec(name, loader, origin=os.path.join(sys.path[0], entry))


class DataPackageFinder:
    """Finder of packages with data files, which it extracts to a folder."""

    def __init__(self, archive):
        self._archive = archive

    def find_spec(self, name, path=None, target=None):
        """Return the specification of an extracted package; None for others."""
        entries = onefile_index.DATA_PACKAGES.get(name)
        if entries is None:
            return None
        folder = self._archive.extract(entries)
        return PathFinder.find_spec(name, [folder])


def main():
    """Run the command line."""
    archive = Archive()
    sys.meta_path.insert(0, ArchiveExtensionFinder(archive))
    sys.meta_path.insert(0, DataPackageFinder(archive))
    from damaskrill.cli import main as run

    run()
