"""Builds the single-file executable ``dist/apricotseam``.

`launcher.c` is linked with the static library of the interpreter. One
archive with the standard library, the locked dependencies and this package
is appended to it.
"""

import importlib.metadata
import importlib.util
import pathlib
import py_compile
import re
import shutil
import subprocess
import sys
import sysconfig
import zipfile

ROOT = pathlib.Path(__file__).parent.parent
BUILD = ROOT / "build" / "binary"
OUTPUT = ROOT / "dist" / "apricotseam"
STDLIB = pathlib.Path(sysconfig.get_path("stdlib"))
SITE = pathlib.Path(sysconfig.get_path("purelib"))

# Parts of the standard library that a server does not use.
UNUSED_STDLIB = {
    "__pycache__",
    "ensurepip",
    "idlelib",
    "lib-dynload",
    "lib2to3",
    "pydoc_data",
    "site-packages",
    "test",
    "tkinter",
    "turtledemo",
    "venv",
}
UNUSED_EXTENSIONS = re.compile(
    r"_test|_xx|xx|_tkinter|_crypt|_curses|nis|ossaudiodev|_dbm|_gdbm|"
    r"_sqlite3|readline|spwd|audioop|_codecs_(jp|kr|cn|tw|hk|iso2022)"
)
# Stored without compression: the modules in `encodings` are imported before
# `zlib` can be.
STORED_PREFIXES = ("encodings/", "native/")
# Libraries that every Linux system with glibc provides.
SYSTEM_LIBRARIES = re.compile(
    r"^(linux-vdso|ld-linux|libc|libm|libdl|"
    r"libpthread|librt|libutil|libgcc_s)\b"
)


def main():
    """Build the executable and print its path and size."""
    BUILD.mkdir(parents=True, exist_ok=True)
    OUTPUT.parent.mkdir(exist_ok=True)
    launcher = compile_launcher()
    archive = write_archive()
    OUTPUT.write_bytes(launcher.read_bytes() + archive.read_bytes())
    OUTPUT.chmod(0o755)
    check_archive()
    print(f"{OUTPUT.relative_to(ROOT)} {OUTPUT.stat().st_size} bytes")


def compile_launcher():
    """Compile the launcher, link the interpreter in; return its path."""
    source = (ROOT / "release" / "bootstrap.py").read_text()
    escaped = source.replace("\\", "\\\\").replace('"', '\\"')
    literal = "\n".join(f'"{line}\\n"' for line in escaped.split("\n"))
    header = BUILD / "bootstrap_text.h"
    header.write_text(f"static const char bootstrap_text[] =\n{literal};\n")
    library_folder = pathlib.Path(sysconfig.get_config_var("LIBPL"))
    interpreter = library_folder / sysconfig.get_config_var("LIBRARY")
    program = BUILD / "launcher"
    command = [
        "gcc",
        "-O2",
        "-Wall",
        "-Wextra",
        f"-I{sysconfig.get_path('include')}",
        f"-I{BUILD}",
        str(ROOT / "release" / "launcher.c"),
        "-o",
        str(program),
        str(interpreter),
        "-Wl,-export-dynamic",
        "-lm",
        "-ldl",
        "-lutil",
        "-lpthread",
    ]
    subprocess.run(command, check=True)
    subprocess.run(["strip", "--strip-unneeded", str(program)], check=True)
    return program


def write_archive():
    """Write the archive of modules and shared objects; return its path."""
    path = BUILD / "archive.zip"
    with zipfile.ZipFile(path, "w", zipfile.ZIP_DEFLATED) as archive:
        for source, name in stdlib_modules():
            add_module(archive, source, name)
        extensions = dict(stdlib_extensions())
        for source, name in dependency_files():
            if name.endswith(".py"):
                add_module(archive, source, name)
            elif ".so" not in name:
                archive.write(source, name)
            else:
                extensions[module_name(name)] = source
        for source in sorted((ROOT / "apricotseam").rglob("*.py")):
            name = str(source.relative_to(ROOT))
            if "/tests/" not in name:
                add_module(archive, source, name)
        for source in sorted((ROOT / "apricotseam").rglob("*.html")):
            archive.write(source, str(source.relative_to(ROOT)))
        add_extensions(archive, extensions)
        add_directory_entries(archive)
    return path


def stdlib_modules():
    """Yield path and archive name of the standard library's modules."""
    for source in sorted(STDLIB.rglob("*.py")):
        name = source.relative_to(STDLIB)
        if name.parts[0] in UNUSED_STDLIB or "test" in name.parts[:-1]:
            continue
        yield source, str(name)


def stdlib_extensions():
    """Yield module name and path of the standard library's extensions."""
    for source in sorted((STDLIB / "lib-dynload").glob("*.so")):
        name = source.name.split(".")[0]
        if not UNUSED_EXTENSIONS.match(name):
            yield name, source


def dependency_files():
    """Yield path and archive name of the files of locked dependencies."""
    lock = (ROOT / "requirements" / "run.txt").read_text()
    for name in re.findall(r"^([A-Za-z0-9_.-]+)==", lock, re.MULTILINE):
        distribution = importlib.metadata.distribution(name)
        for file in distribution.files or ():
            source = pathlib.Path(distribution.locate_file(file))
            is_included = is_packaged(str(file))
            if is_included and source.is_file():
                yield source, str(file)


def is_packaged(name):
    """Return whether a file of a dependency goes into the archive."""
    if name.startswith("..") or "__pycache__" in name:
        return False
    if "/tests/" in name or "/test/" in name or "_testcapi" in name:
        return False
    if name.endswith("METADATA") or name.endswith("entry_points.txt"):
        return True
    return name.endswith(".py") or ".so" in name


def add_module(archive, source, name):
    """Add one module to the archive as bytecode, without its source."""
    compiled = BUILD / "module.pyc"
    py_compile.compile(
        str(source),
        cfile=str(compiled),
        dfile=name,
        doraise=True,
        optimize=-1,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    is_stored = name.startswith(STORED_PREFIXES)
    archive.write(
        compiled,
        name + "c",
        zipfile.ZIP_STORED if is_stored else zipfile.ZIP_DEFLATED,
    )


def add_extensions(archive, extensions):
    """Add extension modules and the shared libraries that they need.

    They are stored without compression.
    """
    libraries = {}
    for name, source in sorted(extensions.items()):
        stripped = BUILD / "stripped.so"
        shutil.copyfile(source, stripped)
        subprocess.run(["strip", "-S", str(stripped)], check=True)
        archive.write(stripped, f"native/{name}.so", zipfile.ZIP_STORED)
        libraries.update(linked_libraries(source))
    # A library has to be loaded after its dependencies. `ldd` also lists
    # indirect dependencies, so a library has more of them than any library
    # that it depends on; sorting by their number gives a valid order.
    order = sorted(
        libraries, key=lambda n: len(linked_libraries(libraries[n]))
    )
    for name in order:
        archive.write(libraries[name], f"native/{name}", zipfile.ZIP_STORED)
    archive.writestr(zipfile.ZipInfo("native/libraries.txt"), "\n".join(order))


def add_directory_entries(archive):
    """Add the directory entries by which namespace packages are found."""
    names = set(archive.namelist())
    folders = {
        str(parent)
        for name in names
        for parent in pathlib.PurePath(name).parents
        if str(parent) != "."
    }
    for folder in sorted(folders):
        if f"{folder}/__init__.pyc" not in names:
            archive.writestr(zipfile.ZipInfo(f"{folder}/"), b"")


def linked_libraries(source):
    """Return the libraries that a shared object needs, as name to path.

    Those in `SYSTEM_LIBRARIES` are left out.
    """
    output = subprocess.run(
        ["ldd", str(source)], check=True, capture_output=True, text=True
    ).stdout
    found = {}
    for line in output.splitlines():
        match = re.match(r"\s*(\S+) => (/\S+)", line)
        if match and not SYSTEM_LIBRARIES.match(match[1]):
            found[match[1]] = match[2]
    return found


def module_name(name):
    """Return the module name of an extension module's file.

    Examples
    --------
    >>> module_name("msgspec/_core.cpython-311-x86_64-linux-gnu.so")
    'msgspec._core'
    """
    return name.split(".")[0].replace("/", ".")


def check_archive():
    """Check that the archive appended to the launcher can be read."""
    with zipfile.ZipFile(OUTPUT) as archive:
        if "apricotseam/__init__.pyc" not in archive.namelist():
            raise SystemExit("the archive lacks the package apricotseam")


if __name__ == "__main__":
    sys.exit(main())
