/*
 * Program that runs the interpreter on the archive appended to itself.
 *
 * The interpreter's library is linked in. All modules are read from the
 * archive behind the executable; shared objects are read into anonymous
 * memory files, so nothing is unpacked on a disk and no process is started.
 */

#define _GNU_SOURCE
#define PY_SSIZE_T_CLEAN
#include <Python.h>

#include <dlfcn.h>
#include <limits.h>
#include <unistd.h>

/* Source text of bootstrap.py, made by build.py. */
#include "bootstrap_text.h"

/* Loads a shared object so that later ones find its symbols and name. */
static PyObject *
native_load_library(PyObject *self, PyObject *arguments)
{
    const char *path;
    (void)self;
    if (!PyArg_ParseTuple(arguments, "s", &path)) {
        return NULL;
    }
    if (dlopen(path, RTLD_NOW | RTLD_GLOBAL) == NULL) {
        PyErr_SetString(PyExc_OSError, dlerror());
        return NULL;
    }
    Py_RETURN_NONE;
}

static PyMethodDef native_methods[] = {
    {"load_library", native_load_library, METH_VARARGS,
     "Load a shared object with global symbols."},
    {NULL, NULL, 0, NULL},
};

static struct PyModuleDef native_module = {
    PyModuleDef_HEAD_INIT, "_native", "Loads shared objects.", -1,
    native_methods, NULL, NULL, NULL, NULL,
};

static PyObject *
native_init(void)
{
    return PyModule_Create(&native_module);
}

static void
stop_on_error(PyStatus status)
{
    if (PyStatus_Exception(status)) {
        Py_ExitStatusException(status);
    }
}

/* Points the module search path at the executable's own archive. */
static void
configure(PyConfig *config, const char *program, int argc, char **argv)
{
    wchar_t *decoded = Py_DecodeLocale(program, NULL);
    PyConfig_InitIsolatedConfig(config);
    config->parse_argv = 0;
    config->site_import = 0;
    config->write_bytecode = 0;
    config->install_signal_handlers = 1;
    config->module_search_paths_set = 1;
    stop_on_error(PyConfig_SetBytesArgv(config, argc, argv));
    stop_on_error(PyConfig_SetString(config, &config->program_name, decoded));
    stop_on_error(PyConfig_SetString(config, &config->executable, decoded));
    stop_on_error(PyConfig_SetString(config, &config->home, decoded));
    stop_on_error(
        PyWideStringList_Append(&config->module_search_paths, decoded));
    PyMem_RawFree(decoded);
}

int
main(int argc, char **argv)
{
    char program[PATH_MAX];
    PyPreConfig preconfig;
    PyConfig config;
    ssize_t length = readlink("/proc/self/exe", program, sizeof program - 1);

    if (length < 0) {
        perror("apricotseam: /proc/self/exe cannot be read; mount /proc");
        return 1;
    }
    program[length] = '\0';
    PyPreConfig_InitIsolatedConfig(&preconfig);
    preconfig.utf8_mode = 1;
    stop_on_error(Py_PreInitialize(&preconfig));
    PyImport_AppendInittab("_native", native_init);
    configure(&config, program, argc, argv);
    stop_on_error(Py_InitializeFromConfig(&config));
    PyConfig_Clear(&config);
    if (PyRun_SimpleString(bootstrap_text) != 0) {
        return 1;
    }
    return Py_FinalizeEx() < 0 ? 120 : 0;
}
