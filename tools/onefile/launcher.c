/*
 * Start the Python interpreter that is linked into this executable, with the appended
 * zip archive as its only module search path.
 */
#define PY_SSIZE_T_CLEAN
#include <Python.h>

#include <dlfcn.h>
#include <limits.h>
#include <stdio.h>
#include <unistd.h>

static const char START[] = "import onefile_main\nonefile_main.main()\n";

/* Load a shared library globally, so that extension modules resolve it by its name. */
static PyObject *load_library(PyObject *self, PyObject *argument)
{
    const char *path = PyUnicode_AsUTF8(argument);
    if (path == NULL) {
        return NULL;
    }
    if (dlopen(path, RTLD_NOW | RTLD_GLOBAL) == NULL) {
        PyErr_SetString(PyExc_ImportError, dlerror());
        return NULL;
    }
    Py_RETURN_NONE;
}

static PyMethodDef methods[] = {
    {"load_library", load_library, METH_O, "Load a shared library for all modules."},
    {NULL, NULL, 0, NULL},
};

static struct PyModuleDef module = {
    PyModuleDef_HEAD_INIT, "_onefile", NULL, -1, methods, NULL, NULL, NULL, NULL,
};

static PyObject *init_onefile(void)
{
    return PyModule_Create(&module);
}

static void check(PyStatus status)
{
    if (PyStatus_Exception(status)) {
        Py_ExitStatusException(status);
    }
}

int main(int argc, char **argv)
{
    char path[PATH_MAX + 1];
    ssize_t length = readlink("/proc/self/exe", path, PATH_MAX);
    if (length < 0) {
        fprintf(stderr, "damaskrill: /proc/self/exe cannot be read\n");
        return 2;
    }
    path[length] = '\0';

    PyPreConfig preconfig;
    PyPreConfig_InitIsolatedConfig(&preconfig);
    preconfig.utf8_mode = 1;
    check(Py_PreInitialize(&preconfig));

    PyImport_AppendInittab("_onefile", init_onefile);

    PyConfig config;
    PyConfig_InitIsolatedConfig(&config);
    config.install_signal_handlers = 1;
    config.parse_argv = 0;
    config.site_import = 0;
    config.write_bytecode = 0;
    config.module_search_paths_set = 1;
    check(PyConfig_SetBytesArgv(&config, argc, argv));
    check(PyConfig_SetBytesString(&config, &config.executable, path));
    check(PyConfig_SetBytesString(&config, &config.program_name, path));
    check(PyConfig_SetString(&config, &config.prefix, L""));
    check(PyConfig_SetString(&config, &config.exec_prefix, L""));
    check(PyConfig_SetString(&config, &config.base_prefix, L""));
    check(PyConfig_SetString(&config, &config.base_exec_prefix, L""));
    wchar_t *search_path = Py_DecodeLocale(path, NULL);
    if (search_path == NULL) {
        fprintf(stderr, "damaskrill: the path of the executable cannot be decoded\n");
        return 2;
    }
    check(PyWideStringList_Append(&config.module_search_paths, search_path));
    PyMem_RawFree(search_path);
    check(Py_InitializeFromConfig(&config));
    PyConfig_Clear(&config);

    int status = PyRun_SimpleString(START);
    if (Py_FinalizeEx() < 0) {
        status = 1;
    }
    return status == 0 ? 0 : 1;
}
