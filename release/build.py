"""Builds the one-file program ``dist/apricotseam``.

The interpreter's static library is linked to `launcher.c`; the standard
library, the locked libraries and this package follow as one archive.
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
# Modules that are imported before `zlib` can be.
STORED_PREFIXES = ("encodings/", "native/")
SYSTEM_LIBRARIES = re.compile(
    r"^(linux-vdso|ld-linux|libc|libm|libdl|"
    r"libpthread|librt|libutil|libgcc_s)\b"
)


def main():
    """Build the program and print where it is and its size."""
    BUILD.mkdir(parents=True, exist_ok=True)
    OUTPUT.parent.mkdir(exist_ok=True)
    launcher = compile_launcher()
    archive = write_archive()
    OUTPUT.write_bytes(launcher.read_bytes() + archive.read_bytes())
    OUTPUT.chmod(0o755)
    fix_offsets()
    print(f"{OUTPUT.relative_to(ROOT)} {OUTPUT.stat().st_size} bytes")


def compile_launcher():
    """Compile the launcher with the interpreter linked in."""
    text = (ROOT / "release" / "bootstrap.py").read_text()
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    quoted = "\n".join(f'"{line}\\n"' for line in escaped.split("\n"))
    header = BUILD / "bootstrap_text.h"
    header.write_text(f"static const char bootstrap_text[] =\n{quoted};\n")
    library = pathlib.Path(sysconfig.get_config_var("LIBPL"))
    static = library / sysconfig.get_config_var("LIBRARY")
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
        str(static),
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
    """Write the archive of all modules and shared objects."""
    path = BUILD / "archive.zip"
    with zipfile.ZipFile(path, "w", zipfile.ZIP_DEFLATED) as archive:
        for source, name in stdlib_modules():
            add_module(archive, source, name)
        natives = dict(stdlib_extensions())
        for source, name in library_files():
            if name.endswith(".py"):
                add_module(archive, source, name)
            elif ".so" not in name:
                archive.write(source, name)
            else:
                natives[module_name(name)] = source
        for source in sorted((ROOT / "apricotseam").rglob("*.py")):
            name = str(source.relative_to(ROOT))
            if "/tests/" not in name:
                add_module(archive, source, name)
        for source in sorted((ROOT / "apricotseam").rglob("*.html")):
            archive.write(source, str(source.relative_to(ROOT)))
        add_natives(archive, natives)
        add_namespaces(archive)
    return path


def stdlib_modules():
    """Yield source and archive name of the standard library's modules."""
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


def library_files():
    """Yield path and archive name of the files of locked libraries."""
    lock = (ROOT / "requirements" / "run.txt").read_text()
    for name in re.findall(r"^([A-Za-z0-9_.-]+)==", lock, re.MULTILINE):
        distribution = importlib.metadata.distribution(name)
        for file in distribution.files or ():
            source = pathlib.Path(distribution.locate_file(file))
            is_wanted = wanted(str(file))
            if is_wanted and source.is_file():
                yield source, str(file)


def wanted(name):
    """Return whether a file of a library goes into the archive."""
    if name.startswith("..") or "__pycache__" in name:
        return False
    if "/tests/" in name or "/test/" in name or "_testcapi" in name:
        return False
    if name.endswith("METADATA") or name.endswith("entry_points.txt"):
        return True
    return name.endswith(".py") or ".so" in name


def add_module(archive, source, name):
    """Add one module as bytecode in place of its source."""
    compiled = BUILD / "module.pyc"
    py_compile.compile(
        str(source),
        cfile=str(compiled),
        dfile=name,
        doraise=True,
        optimize=-1,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    is_early = name.startswith(STORED_PREFIXES)
    archive.write(
        compiled,
        name + "c",
        zipfile.ZIP_STORED if is_early else zipfile.ZIP_DEFLATED,
    )


def add_natives(archive, natives):
    """Add extension modules and the libraries that they need, stored."""
    libraries = {}
    for name, source in sorted(natives.items()):
        stripped = BUILD / "stripped.so"
        shutil.copyfile(source, stripped)
        subprocess.run(["strip", "-S", str(stripped)], check=True)
        archive.write(stripped, f"native/{name}.so", zipfile.ZIP_STORED)
        libraries.update(needed_libraries(source))
    order = sorted(
        libraries, key=lambda n: len(needed_libraries(libraries[n]))
    )
    for name in order:
        archive.write(libraries[name], f"native/{name}", zipfile.ZIP_STORED)
    archive.writestr(zipfile.ZipInfo("native/libraries.txt"), "\n".join(order))


def add_namespaces(archive):
    """Add directory entries, by which packages without code are found."""
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


def needed_libraries(source):
    """Return name and path of the libraries that a shared object needs."""
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
    """Return the dotted name of an extension module's file.

    Examples
    --------
    >>> module_name("msgspec/_core.cpython-311-x86_64-linux-gnu.so")
    'msgspec._core'
    """
    return name.split(".")[0].replace("/", ".")


def fix_offsets():
    """Check that the archive behind the launcher can be read."""
    with zipfile.ZipFile(OUTPUT) as archive:
        if "apricotseam/__init__.pyc" not in archive.namelist():
            raise SystemExit("the archive lacks the package")


if __name__ == "__main__":
    sys.exit(main())
