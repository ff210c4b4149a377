/* Runs RapidCheck properties and prints each result in cmocka's form, which
 * tests/run.py reads. */
#ifndef RK_TESTS_PROPS_H
#define RK_TESTS_PROPS_H

#include <rapidcheck.h>

#include <cstddef>
#include <cstdio>

struct Property {
    const char *name;
    void (*fn)();
};

inline bool report(const char *name, bool ok)
{
    printf("[ %s ] %s\n", ok ? "      OK" : "  FAILED", name);
    return ok;
}

/* The process's exit code: 0 if all hold. All are tried. */
template <size_t Count> int run_properties(const Property (&properties)[Count])
{
    bool ok = true;
    for (const Property &p : properties)
        ok = report(p.name, rc::check(p.name, p.fn)) && ok;
    return ok ? 0 : 1;
}

#endif
