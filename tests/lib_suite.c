#include "tests/lib_suite.h"

#include <stdlib.h>

enum { TEST_TIMEOUT_S = 60 };

int suite_run(const char *name, const TTest *const *tests, size_t n)
{
	Suite *suite = suite_create(name);
	SRunner *runner;
	int failed;

	for (size_t i = 0; i < n; i++) {
		TCase *tcase = tcase_create(tests[i]->name);

		tcase_set_timeout(tcase, TEST_TIMEOUT_S);
		tcase_add_test(tcase, tests[i]);
		suite_add_tcase(suite, tcase);
	}
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
