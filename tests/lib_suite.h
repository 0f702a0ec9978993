/* Runs the tests of a program with the check library. */
#ifndef TESTS_LIB_SUITE_H
#define TESTS_LIB_SUITE_H

#include <check.h>

/* Runs TESTS as one suite; returns the program's exit status. */
int suite_run(const char *name, const TTest *const *tests, size_t n);

/* Defines main, which runs the tests given. */
#define SUITE_MAIN(name, ...)                                       \
	int main(void)                                              \
	{                                                           \
		const TTest *const tests[] = { __VA_ARGS__ };       \
                                                                    \
		return suite_run(name, tests,                       \
				 sizeof(tests) / sizeof(tests[0])); \
	}

#endif
