/* What the test programs share: the runner around check. */
#ifndef TESTS_LIB_SUITE_H
#define TESTS_LIB_SUITE_H

#include <check.h>

/* Runs one suite with the tests given; returns the exit status. */
int suite_run(const char *name, const TTest *const *tests, size_t n);

#define SUITE_MAIN(name, ...)                                       \
	int main(void)                                              \
	{                                                           \
		const TTest *const tests[] = { __VA_ARGS__ };       \
                                                                    \
		return suite_run(name, tests,                       \
				 sizeof(tests) / sizeof(tests[0])); \
	}

#endif
