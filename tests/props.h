/* Runs RapidCheck properties and prints each result in the format of cmocka, which
 * tests/run.py parses. */
#ifndef RK_TESTS_PROPS_H
#define RK_TESTS_PROPS_H

#include <rapidcheck.h>

#include <cstddef>
#include <cstdio>

/* A property and the name that its result is printed under. */
struct Property {
    const char *name;
    void (*fn)();
};

/* Prints one result and returns `ok`. */
inline bool report(const char *name, bool ok)
{
    printf("[ %s ] %s\n", ok ? "      OK" : "  FAILED", name);
    return ok;
}

/* Checks every property, also after one has failed. Returns the exit code for the
 * process: 0 if all hold, otherwise 1. */
template <size_t Count> int run_properties(const Property (&properties)[Count])
{
    bool ok = true;
    for (const Property &p : properties)
        ok = report(p.name, rc::check(p.name, p.fn)) && ok;
    return ok ? 0 : 1;
}

#endif
